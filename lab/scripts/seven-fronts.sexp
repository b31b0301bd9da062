; Seven fronts, five voters: two voters are killed, one is paused, a follower is isolated.
(process-test (fronts 7) (voters 5) (lease-duration 1s) (for 12s)
  (at 1s (kill voter 3s)) (at 1500ms (kill voter 3s)) (at 2500ms (pause follower 2s)) (at 5s (isolate follower 2s))
  (at 7s (pause leader 1500ms)))
