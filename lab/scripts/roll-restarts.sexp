; A rolling restart by SIGTERM through a version on its way: no fault of the version.
(rig (fronts 5) (keepers 3) (span 1s) (versions 3s stop) (for 22s)
  (at 1s (publish window 1 60% 100%))
  (at 2s (end n1 300ms)) (at 5s (end n3 300ms)) (at 8s (end n4 300ms)) (at 11s (end n5 300ms)))
