; Fifty processes with a fault proxy on every link: what a fleet of them costs, with a leaseholder killed.
(process-test (fronts 50) (voters 3) (servers 3) (lease-duration 3s) (clients 10) (for 20s)
  (at 5s (kill leaseholder:list 2s)) (at 12s (transfer list)))
