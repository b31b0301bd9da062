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
