; No faults, to be paired with calm-fleet.sexp by seed.
(process-test (fronts 5) (voters 3) (servers 3) (lease-duration 3s) (clients 3) (for 8s) (without-fleet))
