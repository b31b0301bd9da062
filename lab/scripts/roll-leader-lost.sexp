; The leader is isolated for the rest of the script during a rollout with a time limit, and another change follows: it waits for the
; next leader, not for the lost front.
(process-test (fronts 6) (voters 3) (lease-duration 1s) (rollouts 3s stop within 8s) (for 22s)
  (at 1s (publish window 100%))
  (at 4s (publish both 50% 100%))
  (at 4200ms (isolate leader 12s))
  (at 6s (publish more 100%)))
