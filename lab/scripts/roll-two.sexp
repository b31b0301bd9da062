; Two operators publish at once: one of them hears that another version is on its way.
(rig (fronts 5) (keepers 3) (span 1s) (versions 3s stop) (for 14s)
  (at 1s (publish window 1 100%) (publish tight 1 100%)))
