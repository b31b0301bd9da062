; What earlier-words.sexp says, in present words.
(process-test (fronts 7) (voters 5) (servers 2) (clients 3) (lease-duration 2s) (for 9s) (poll) (without-fleet) (rollouts 3s stop differ within 8s)
  (at 1s (pause leader 1s) (kill voter 2s) (terminate leaseholder:list 3s) (kill newest 4s) (duplicate n7 5s))
  (at 2s (partition n1 n2 1s) (partition-one-way n2 n1 2s) (isolate follower 3s) (block-inbound any 4s) (block-outbound leaseholder:scout/0 5s))
  (at 3s (delay 120ms 3s) (corrupt 2s) (reset))
  (at 4s (truncate-audit n4 700ms) (back-up-disk n1) (restore-disk n1 500ms) (truncate-disk n2 400ms))
  (at 5s (expect-no-leader) (recover-voters n3) (expect-recovery-rejected n1))
  (at 6s (publish give-up must 1 50% 100%) (roll-back) (transfer roll))
  (at 7s (endpoints-down 4s) (endpoints-stale 3s) (endpoints-change) (hang-server 6s)))
