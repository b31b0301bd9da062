(fleet
  (id "57f4fae48e0bb236")
  (listen "10.0.0.4:7500")
  (keepers (n1 "10.0.0.1:7500") (n2 "10.0.0.2:7500") (n3 "10.0.0.3:7500"))
  (keeper "/var/lib/dapplerouter/fleet.db")   ; at keepers only
  (key "n4.key") (certificate "n4.crt") (trust "root.crt")
  (control "/run/dapplerouter/n4.sock"))
