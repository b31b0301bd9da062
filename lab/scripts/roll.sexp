; Two versions, one after the other, each in waves.
(rig (fronts 5) (keepers 3) (span 1s) (versions 4s stop) (for 16s)
  (at 1s (publish window 1 50% 100%))
  (at 9s (publish give-up must 40% 100%)))
