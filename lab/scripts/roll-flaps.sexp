; A lagging front is isolated and comes back several times while two versions are published.
(process-test (fronts 5) (voters 3) (lease-duration 1s) (rollouts 3s stop) (for 26s)
  (at 1s (publish window 1 100%))
  (at 1500ms (isolate n5 1500ms)) (at 5s (isolate n5 2s)) (at 9s (block-inbound n5 2s)) (at 13s (block-outbound n5 2s))
  (at 15s (publish give-up must 50% 100%))
  (at 16s (isolate n5 2500ms)))
