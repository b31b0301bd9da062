; The baseline of hang-fleet.sexp: the same server hangs, and every front probes by itself.
(process-test (fronts 10) (voters 3) (servers 3) (lease-duration 3s) (clients 20) (for 20s) (without-fleet) (at 1s (hang-server 17s)))
