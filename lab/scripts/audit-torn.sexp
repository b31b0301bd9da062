; Audits whose last line was cut by a crash: told and cut, and the chain goes on.
(rig (fronts 5) (keepers 3) (span 1s) (versions 3s stop) (for 12s)
  (at 2s (torn-audit n4 700ms)) (at 4s (publish window 1 100%)) (at 6s (torn-audit n2 700ms)))
