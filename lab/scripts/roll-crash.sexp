; Whoever takes a version up goes down: it goes back by itself.
(rig (fronts 6) (keepers 3) (span 1s) (versions 3s stop) (for 16s)
  (at 1s (publish window 1 100%))
  (at 1500ms (kill new 700ms)))
