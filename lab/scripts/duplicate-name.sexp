; Two processes with one name: one of them is refused and reports it; no lease has two holders.
(process-test (fronts 6) (voters 3) (lease-duration 1s) (for 12s)
  (at 2s (duplicate n5 3s))
  (at 3s (transfer list)))
