; A front that is cut off from all others is shut out, by its own right's end, and comes back up to date.
(rig (fronts 5) (keepers 3) (span 1s) (versions 3s stop) (for 24s)
  (at 1s (apart n4 16s))
  (at 1500ms (publish give-up must 100%)))
