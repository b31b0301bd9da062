; Nine fronts are restarted at once: all campaign, one becomes the holder of each lease.
(process-test (fronts 9) (voters 3) (lease-duration 1s) (for 10s) (clients 4)
  (at 1s (kill n1 500ms) (kill n2 500ms) (kill n3 500ms) (kill n4 500ms) (kill n5 500ms) (kill n6 500ms) (kill n7 500ms) (kill n8 500ms) (kill n9 500ms)))
