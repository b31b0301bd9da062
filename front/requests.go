package front

// requests holds the accepted requests until they are released, which requires that they are finished and have no attempt in flight.
type requests struct {
	table      RequestTable[*Request]
	ids        map[string]struct{} // ids of the unfinished requests
	unfinished int
	shutdown   bool // no more requests are accepted
}

func newRequests() requests { return requests{ids: map[string]struct{}{}} }

// has reports whether there is an unfinished request with an id.
func (q *requests) has(id []byte) bool {
	_, ok := q.ids[string(id)]
	return ok
}

// add adds a request to the table and sets its reference.
func (q *requests) add(r *Request) {
	r.ref = q.table.Add(r)
	q.ids[string(r.Statement.ID)] = struct{}{}
	q.unfinished++
}

// finish marks a request as finished: it has its response, or its client has disconnected. Its id may be used again.
func (q *requests) finish(e *RequestEntry[*Request]) {
	e.Finished = true
	delete(q.ids, string(e.Value.Statement.ID))
	q.unfinished--
}
