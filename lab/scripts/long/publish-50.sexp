; 50 processes: how long a rollout takes in one stage, with all fronts connected and then with two isolated for a while.
(process-test (fronts 50) (voters 3) (servers 3) (lease-duration 3s) (clients 10) (rollouts 12s stop) (for 45s)
  (at 2s (publish window 100%))
  (at 20s (isolate n50 12s) (isolate n49 12s))
  (at 21s (publish tight 100%)))
