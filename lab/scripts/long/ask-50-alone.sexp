; A list that answers only when it is asked, 50 fronts by themselves: how many calls.
(rig (fronts 50) (keepers 3) (members 3) (span 3s) (clients 10) (for 30s) (ask) (alone) (at 1s (hang 28s)))
