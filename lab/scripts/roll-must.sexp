; A front stands still in the middle of its txns, over a must version that gives a group up, and goes on afterwards.
(rig (fronts 5) (keepers 3) (span 1s) (versions 3s stop) (for 22s) (clients 10)
  (at 1s (stop n5 14s))
  (at 1200ms (publish give-up must 100%)))
