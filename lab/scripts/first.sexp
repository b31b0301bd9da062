; Five fronts, three of them voters. The leaseholder of the endpoint list is paused, then killed, then two fronts are partitioned, and
; the lease is transferred. Clients must not notice any of it.
(process-test (fronts 5) (voters 3) (servers 3) (clients 6) (lease-duration 1s) (for 11s)
  (at 2s (pause leaseholder:list 2500ms))
  (at 5s (kill leaseholder:list 1500ms))
  (at 7500ms (partition n1 n4 1s))
  (at 9s (transfer list)))
