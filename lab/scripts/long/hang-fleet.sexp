; Ten fronts and a server that does not answer: how many probes, and what they cost.
(process-test (fronts 10) (voters 3) (servers 3) (lease-duration 3s) (clients 20) (for 20s) (at 1s (hang-server 17s)))
