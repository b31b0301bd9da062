; Two of three voters lose their disks: one is restored from an older copy, one is truncated. Only the third has the replicated state:
; no leader is elected and every front serves on alone, until the operator recovers the voters from the disk that is left.
(process-test (fronts 6) (voters 3) (lease-duration 1s) (for 16s)
  (at 1s (back-up-disk n2))
  (at 2s (transfer list)) ; the copy lacks it
  (at 4s (expect-recovery-rejected n1))
  (at 5s (kill n1 1500ms) (restore-disk n2 1s) (truncate-disk n3 2s))
  (at 10s (expect-no-leader) (expect-recovery-rejected n2))
  (at 11s (recover-voters n1)))
