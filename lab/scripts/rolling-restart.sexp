; A rolling restart by SIGTERM, one front after the other, with lease transfers in between.
(process-test (fronts 5) (voters 3) (lease-duration 1s) (for 13s)
  (at 1s (terminate n1 300ms)) (at 3s (transfer list)) (at 3500ms (terminate n2 300ms)) (at 5500ms (terminate n3 300ms)) (at 7500ms (terminate n4 300ms))
  (at 7600ms (transfer list)) (at 9500ms (terminate n5 300ms)))
