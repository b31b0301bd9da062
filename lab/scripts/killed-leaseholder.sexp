; The leaseholder and the leader are killed and come back; the other fronts serve on.
(process-test (fronts 5) (voters 3) (lease-duration 1s) (for 10s)
  (at 1s (kill leaseholder:list 1s))
  (at 4s (kill leader 1500ms))
  (at 7s (kill n4 500ms) (kill n5 500ms)))
