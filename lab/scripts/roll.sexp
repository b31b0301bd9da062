; Two versions, one after the other, each in stages.
(process-test (fronts 5) (voters 3) (lease-duration 1s) (rollouts 4s stop) (for 16s)
  (at 1s (publish window 1 50% 100%))
  (at 9s (publish give-up must 40% 100%)))
