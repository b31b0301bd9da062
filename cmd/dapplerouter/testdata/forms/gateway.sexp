(gateway
  (here kathmandu)
  (peer pokhara
    (address "192.0.2.7:7443")       ; at the other site: (listen "0.0.0.0:7443")
    (groups 3 4)                     ; that live at pokhara
    (key "kathmandu.key") (certificate "kathmandu.crt") (trust "pokhara.crt")
    (heartbeat 200ms) (silence 700ms) (recover 1s) (retain 5s)
    (crossings 1024) (credit 1MiB) (kept 4MiB)))
