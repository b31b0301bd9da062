(classing (undeclared-writes referenced))
(gateway (here kathmandu) (peer pokhara (listen "0.0.0.0:7443") (groups 3) (plain loopback)))
(fleet
  (id "57f4fae48e0bb236") (listen "127.0.0.1:7500") (plain loopback) (duties take)
  (keepers (n1 "127.0.0.1:7500") (n2 "127.0.0.1:7501") (n3 "127.0.0.1:7502")))
(roll (dir "roll"))
(audit (dir "audit"))
(rules)
