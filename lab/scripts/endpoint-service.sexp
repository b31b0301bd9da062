; The endpoint service changes its list, serves an older one, and goes away.
(process-test (fronts 5) (voters 3) (lease-duration 1s) (for 16s)
  (at 1s (endpoints-change)) (at 2s (endpoints-stale 3s)) (at 6s (endpoints-change)) (at 7s (endpoints-down 4s)) (at 13s (endpoints-change)))
