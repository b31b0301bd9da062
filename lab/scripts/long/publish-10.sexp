; 10 processes: how long a version takes to all of them, in one wave, with nobody behind and then with two cut off for a while.
(rig (fronts 10) (keepers 3) (members 3) (span 3s) (clients 10) (versions 12s stop) (for 45s)
  (at 2s (publish window 100%))
  (at 20s (apart n10 12s) (apart n9 12s))
  (at 21s (publish tight 100%)))
