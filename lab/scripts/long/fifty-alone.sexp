; The baseline of fifty.sexp.
(process-test (fronts 50) (voters 3) (servers 3) (lease-duration 3s) (clients 10) (for 20s) (without-fleet) (at 5s (kill n40 2s)))
