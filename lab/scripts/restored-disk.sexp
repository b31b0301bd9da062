; A voter whose disk is restored from an older copy must not vote.
(process-test (fronts 5) (voters 3) (lease-duration 1s) (for 14s)
  (at 500ms (back-up-disk n1))
  (at 1s (kill leader 500ms)) (at 3s (transfer list))
  (at 5s (restore-disk n1 500ms)))
