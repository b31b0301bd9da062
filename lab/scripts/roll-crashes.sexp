; Fronts that adopt a version go down: it is rolled back automatically.
(process-test (fronts 6) (voters 3) (lease-duration 1s) (rollouts 3s stop) (for 16s)
  (at 1s (publish window 1 100%))
  (at 1500ms (kill newest 700ms)))
