; Two operators publish at once: one of them is rejected since a rollout is in progress.
(process-test (fronts 5) (voters 3) (lease-duration 1s) (rollouts 3s stop) (for 14s)
  (at 1s (publish window 1 100%) (publish tight 1 100%)))
