; An endpoint service that is polled, 50 fronts without a fleet: how many calls.
(process-test (fronts 50) (voters 3) (servers 3) (lease-duration 3s) (clients 10) (for 30s) (poll) (without-fleet) (at 1s (hang-server 28s)))
