; A change each second for ten seconds, with a time limit, and a front that is isolated meanwhile: changes that come during a rollout
; wait and become one version with the others that wait, and the fleet ends on one version.
(process-test (fronts 6) (voters 3) (lease-duration 1s) (rollouts 3s stop within 8s) (for 20s)
  (at 1s (publish window 100%))
  (at 2s (publish both 100%))
  (at 3s (publish more 100%))
  (at 4s (publish tight 100%))
  (at 4500ms (isolate n6 11s))
  (at 5s (publish both 100%))
  (at 6s (publish window 100%))
  (at 7s (publish more 100%))
  (at 8s (publish both 100%))
  (at 9s (publish tight 100%))
  (at 10s (publish window 100%)))
