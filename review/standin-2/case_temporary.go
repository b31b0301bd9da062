package main

import (
	"fmt"
	"time"
)

func init() { cases["temporary-table"] = temporaryTable }

// temporaryTable makes a temporary table by its schema, and then books as other clients do.
func temporaryTable(r *run) error {
	f, g, err := r.classing(`(classing (undeclared-writes once-only))`)
	if err != nil {
		return err
	}
	const rounds = 10
	served, missing := 0, 0
	for i := range 2 * rounds {
		if i == rounds && r.trouble {
			a := ask(r.rec, f, "t", "CREATE TABLE pg_temp.bookings (code text, data bytea) /* id=t,c=book-table,k=t,d=2000,cluster=0 */", 2*time.Second)
			r.say("the temporary table: %v", a)
		}
		id := fmt.Sprintf("%016x", 0x2b1f03aa5c000000+i)
		sql := fmt.Sprintf("INSERT INTO bookings (code, data) VALUES ('%s', '\\x9f03') RETURNING data /* id=%s,c=book-table,k=m%s,d=2000,cluster=0 */", id, id, id)
		if a := ask(r.rec, f, id, sql, 2*time.Second); a.err != nil || a.code != "" {
			continue
		}
		served++
		if g.timesApplied(id) == 0 {
			missing++
			r.breaks("request %s was answered as served, and its row is in no table of the group", id)
		}
	}
	r.say("%d of %d requests served, %d of them without their row", served, 2*rounds, missing)
	if served < rounds {
		return fmt.Errorf("only %d of %d requests were served", served, 2*rounds)
	}
	return nil
}
