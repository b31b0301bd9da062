; The majority of keepers is lost while a version is on its way: every front serves on with what it has; then they are back.
(rig (fronts 6) (keepers 3) (span 1s) (versions 3s) (for 18s)
  (at 1s (publish window 1 100%))
  (at 2500ms (kill n1 7s) (kill n2 7s)))
