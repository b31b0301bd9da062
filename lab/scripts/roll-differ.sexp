; Half of the fronts can't use a version, since their site allows less: it goes back by itself. The next one fits all.
(rig (fronts 6) (keepers 3) (span 1s) (versions 3s stop differ) (for 18s)
  (at 1s (publish window 50% 100%))
  (at 9s (publish tight 50% 100%)))
