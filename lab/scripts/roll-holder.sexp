; The holder of the duty roll dies, stands still and hands on while a version is on its way; the next goes on where it stood.
(rig (fronts 6) (keepers 3) (span 1s) (versions 4s stop) (for 24s)
  (at 1s (publish window 1 40% 70% 100%))
  (at 3s (stop holder:roll 2500ms))
  (at 8s (hand roll))
  (at 11s (kill holder:roll 1s)))
