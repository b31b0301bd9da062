; A straggler flaps between cut off and back while two versions are published.
(rig (fronts 5) (keepers 3) (span 1s) (versions 3s stop) (for 26s)
  (at 1s (publish window 1 100%))
  (at 1500ms (apart n5 1500ms)) (at 5s (apart n5 2s)) (at 9s (deaf n5 2s)) (at 13s (mute n5 2s))
  (at 15s (publish give-up must 50% 100%))
  (at 16s (apart n5 2500ms)))
