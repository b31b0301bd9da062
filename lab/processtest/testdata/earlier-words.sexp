; Every word of earlier scripts that has been replaced. It must be read as present-words.sexp is.
(rig (fronts 7) (keepers 5) (members 2) (clients 3) (span 2s) (for 9s) (ask) (alone) (versions 3s stop differ within 8s)
  (at 1s (stop giver 1s) (kill keeper 2s) (end holder:list 3s) (kill new 4s) (twin n7 5s))
  (at 2s (cut n1 n2 1s) (one-way n2 n1 2s) (apart follower 3s) (deaf any 4s) (mute holder:scout/0 5s))
  (at 3s (slow 120ms 3s) (spoil 2s) (reset))
  (at 4s (torn-audit n4 700ms) (keep n1) (old-disk n1 500ms) (torn n2 400ms))
  (at 5s (leaderless) (recover n3) (no-recover n1))
  (at 6s (publish give-up must 1 50% 100%) (take-back) (hand roll))
  (at 7s (lists 4s) (older 3s) (change) (hang 6s)))
