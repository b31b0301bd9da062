; A front is paused with requests in flight while a must version gives a group up, and is resumed afterwards.
(process-test (fronts 5) (voters 3) (lease-duration 1s) (rollouts 3s stop) (for 22s) (clients 10)
  (at 1s (pause n5 14s))
  (at 1200ms (publish give-up must 100%)))
