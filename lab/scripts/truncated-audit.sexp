; Audit logs whose last line is truncated by a crash: it is reported and cut off, and the hash chain continues.
(process-test (fronts 5) (voters 3) (lease-duration 1s) (rollouts 3s stop) (for 12s)
  (at 2s (truncate-audit n4 700ms)) (at 4s (publish window 1 100%)) (at 6s (truncate-audit n2 700ms)))
