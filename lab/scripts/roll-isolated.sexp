; A front that is isolated from all others is fenced by the end of its configuration lease, and comes back up to date.
(process-test (fronts 5) (voters 3) (lease-duration 1s) (rollouts 3s stop) (for 24s)
  (at 1s (isolate n4 16s))
  (at 1500ms (publish give-up must 100%)))
