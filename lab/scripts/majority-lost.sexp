; The majority of the voters is down: every front serves on alone; then they come back.
(process-test (fronts 5) (voters 3) (lease-duration 1s) (for 13s)
  (at 1s (kill n1 6s) (kill n2 6s)))
