; A version is rolled back by its operator in its second stage.
(process-test (fronts 5) (voters 3) (lease-duration 1s) (rollouts 3s stop) (for 14s)
  (at 1s (publish window 1 60% 100%))
  (at 4500ms (roll-back)))
