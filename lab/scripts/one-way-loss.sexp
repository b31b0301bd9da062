; A leaseholder that receives and is not received, then one that is received and receives nothing.
(process-test (fronts 5) (voters 3) (lease-duration 1s) (for 11s)
  (at 1s (block-outbound leaseholder:list 2500ms))
  (at 6s (block-inbound leaseholder:list 2500ms)))
