(classing
  (cache 8MiB)                          ; a quarter of the memory told at most; 8MiB where left out
  (functions
    (reads seat_name geo.distance mood) ; your functions, and your types that are cast to, that only read
    (writes next_seat busy_view))       ; functions, views, tables that write whatever the verb
  (columns id house at)                 ; optional: all names that t.name may mean
  (undeclared-writes once-only)         ; or referenced, repeatable
  (types                                ; for comments without c; the first that fits
    (book-table (class write))
    (report (class read) (above 20ms))
    (slot-browse (class read) (verbs select) (tables slots houses))))
