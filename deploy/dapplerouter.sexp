; The operator's own file. A form that is absent is off; so is all of this. A front reads it where --file or
; DAPPLEROUTER_FILE names it; `dapplerouter check deploy/dapplerouter.sexp` says what is wrong with it.
;
; (classing                                 ; docs/operate/classing.md
;   (cache 8MiB)
;   (functions
;     (reads seat_name geo.distance mood)   ; functions and types of your own that only read
;     (writes next_seat busy_view))         ; functions, views and tables that write whatever the verb
;   (undeclared-writes once-only)           ; a write whose txn type reads: once-only, referenced, repeatable
;   (types                                  ; for statements whose comment names none; the first that fits
;     (book-table (class write))
;     (slot-browse (class read))))
;
; (gateway                                  ; docs/operate/gateway.md; dapplerouter gateway --file this
;   (here kathmandu)
;   (peer pokhara (address "192.0.2.7:7443") (groups 3 4)
;     (key "kathmandu.key") (certificate "kathmandu.crt") (trust "pokhara.crt")))
;
; (fleet                                    ; docs/operate/fleet.md
;   (id "57f4fae48e0bb236")                 ; dapplerouter fleet id new
;   (listen "10.0.0.4:7500")
;   (voters (n1 "10.0.0.1:7500") (n2 "10.0.0.2:7500") (n3 "10.0.0.3:7500"))
;   (voter "/var/lib/dapplerouter/fleet.db") ; where this front is one of them
;   (key "n4.key") (certificate "n4.crt") (trust "root.crt")
;   (control "/run/dapplerouter/n4.sock"))
