; A leaseholder is paused beyond the end of its lease and resumes in the middle of its work, twice, and so does the leader.
(process-test (fronts 5) (voters 3) (lease-duration 1s) (for 10s)
  (at 1s (pause leaseholder:list 1800ms))
  (at 4s (pause leader 1700ms))
  (at 7s (pause leaseholder:list 700ms)))
