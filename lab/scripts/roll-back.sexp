; A version is taken back by its operator in its second wave.
(rig (fronts 5) (keepers 3) (span 1s) (versions 3s stop) (for 14s)
  (at 1s (publish window 1 60% 100%))
  (at 4500ms (take-back)))
