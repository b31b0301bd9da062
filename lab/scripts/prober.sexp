; A replica does not answer for a while: one front probes it for all, and is killed and paused meanwhile.
(process-test (fronts 6) (voters 3) (servers 3) (lease-duration 1s) (for 12s)
  (at 1s (hang-server 7s))
  (at 3s (kill leaseholder:scout/0 1s))
  (at 5s (pause leaseholder:scout/0 1500ms)))
