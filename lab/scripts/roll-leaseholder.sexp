; The leaseholder of rollouts is paused, transfers its lease and is killed during a rollout; its successors continue it.
(process-test (fronts 6) (voters 3) (lease-duration 1s) (rollouts 4s stop) (for 24s)
  (at 1s (publish window 1 40% 70% 100%))
  (at 3s (pause leaseholder:roll 2500ms))
  (at 8s (transfer roll))
  (at 11s (kill leaseholder:roll 1s)))
