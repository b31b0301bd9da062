; Three voters partitioned in pairs: each reaches one other at the most, then none reaches another.
(process-test (fronts 5) (voters 3) (lease-duration 1s) (for 12s)
  (at 1s (partition n1 n2 3s))
  (at 2s (partition-one-way n2 n3 3s))
  (at 6s (partition n1 n2 2s) (partition n2 n3 2s) (partition n1 n3 2s)))
