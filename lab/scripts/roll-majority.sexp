; The majority of the voters is down during a rollout: every front serves on with the version that it has; then they come back.
(process-test (fronts 6) (voters 3) (lease-duration 1s) (rollouts 3s) (for 18s)
  (at 1s (publish window 1 100%))
  (at 2500ms (kill n1 7s) (kill n2 7s)))
