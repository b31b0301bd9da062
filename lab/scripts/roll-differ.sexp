; Half of the fronts cannot use a version, since their instance configurations allow less: it is rolled back automatically. The next one
; is accepted by all.
(process-test (fronts 6) (voters 3) (lease-duration 1s) (rollouts 3s stop differ) (for 18s)
  (at 1s (publish window 50% 100%))
  (at 9s (publish tight 50% 100%)))
