(rules (bound slot-browse 2s) (window book-table 1s) (given-up 7))
