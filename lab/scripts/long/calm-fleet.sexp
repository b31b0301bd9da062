; No faults, to be paired with calm-alone.sexp by seed: what a fleet costs for each request.
(process-test (fronts 5) (voters 3) (servers 3) (lease-duration 3s) (clients 3) (for 8s))
