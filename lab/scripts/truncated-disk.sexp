; A voter's file is truncated: the voter does not start with it, and without it the others know that it has lost its state.
(process-test (fronts 5) (voters 3) (lease-duration 1s) (for 10s)
  (at 2s (truncate-disk n2 500ms))
  (at 6s (transfer list)))
