; Links between fronts are slow, then corrupt bytes, then are reset again and again.
(process-test (fronts 5) (voters 3) (lease-duration 1s) (for 12s)
  (at 1s (delay 120ms 3s))
  (at 5s (corrupt 2s))
  (at 8s (reset)) (at 8200ms (reset)) (at 8400ms (reset)) (at 9s (reset)))
