package front

// requests are those that were accepted and not released: without a response, or with attempts in flight.
type requests struct {
	table      RequestTable[*Request]
	ids        map[string]struct{} // of the requests that are not finished
	unfinished int
	shutdown   bool // no request is accepted any more
}

func newRequests() requests { return requests{ids: map[string]struct{}{}} }

// has reports whether a request with an id is not finished.
func (q *requests) has(id []byte) bool {
	_, ok := q.ids[string(id)]
	return ok
}

// add enters a request and sets its reference.
func (q *requests) add(r *Request) {
	r.ref = q.table.Add(r)
	q.ids[string(r.Statement.ID)] = struct{}{}
	q.unfinished++
}

// finish notes that a request is owed no response any more; its id may be used again.
func (q *requests) finish(e *RequestEntry[*Request]) {
	e.Finished = true
	delete(q.ids, string(e.Value.Statement.ID))
	q.unfinished--
}
