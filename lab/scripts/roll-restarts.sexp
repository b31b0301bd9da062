; A rolling restart by SIGTERM during a rollout: it does not count against the version.
(process-test (fronts 5) (voters 3) (lease-duration 1s) (rollouts 3s stop) (for 22s)
  (at 1s (publish window 1 60% 100%))
  (at 2s (terminate n1 300ms)) (at 5s (terminate n3 300ms)) (at 8s (terminate n4 300ms)) (at 11s (terminate n5 300ms)))
