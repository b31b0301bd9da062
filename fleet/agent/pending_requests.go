package agent

import (
	"sync"
	"time"

	"dapplerouter/adminapi"
	"dapplerouter/fleet"
)

// errNoAnswer reports that no leader answered a request in time.
const errNoAnswer = adminapi.RejectedError("no answer of the fleet")

// pendingRequests tracks the requests to the leader that have not ended yet.
type pendingRequests struct {
	mu   sync.Mutex                          // guards byID
	byID map[uint64]chan<- fleet.RequestDone // receives the end of the request with an id
}

// add adds a request. Its end is sent to done, which must be buffered so that the send does not block.
func (p *pendingRequests) add(id uint64, done chan<- fleet.RequestDone) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byID == nil {
		p.byID = map[uint64]chan<- fleet.RequestDone{}
	}
	p.byID[id] = done
}

// remove removes a request whose caller has stopped waiting.
func (p *pendingRequests) remove(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byID, id)
}

// finish passes the end of a request to its caller, if it is still waiting.
func (p *pendingRequests) finish(e fleet.RequestDone) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if done := p.byID[e.ID]; done != nil {
		done <- e
		delete(p.byID, e.ID)
	}
}

// requestLeader sends a request to the leader and waits until it ends. If the leader rejects it, the error is a RejectedError with the
// reason. If no answer arrives in time, the error is errNoAnswer.
func (a *Agent) requestLeader(send func(n *fleet.Node, now time.Duration) (id uint64)) error {
	e, ok := a.awaitRequest(send)
	if !ok {
		return errNoAnswer
	}
	if e.Error != "" {
		return adminapi.RejectedError(e.Error)
	}
	return nil
}

// awaitRequest sends a request to the leader and waits until it ends. ok reports only that the request has ended; if it was rejected or
// has failed, e.Error says why. ok is false if the request does not end within five lease durations; e is empty then.
func (a *Agent) awaitRequest(send func(n *fleet.Node, now time.Duration) (id uint64)) (e fleet.RequestDone, ok bool) {
	done := make(chan fleet.RequestDone, 1)
	var id uint64
	a.mesh.Do(func(n *fleet.Node, now time.Duration) {
		id = send(n, now)
		a.requests.add(id, done) // before the request can end, since the mesh's lock is held
	})
	select {
	case e := <-done:
		return e, true
	case <-time.After(5 * a.config.LeaseDuration):
		a.requests.remove(id)
		return e, false
	}
}

// collectDigests returns the digests of a subsystem of all fronts, as reported to the leader. It returns none if no leader answers.
func (a *Agent) collectDigests(part string) []fleet.MemberReport {
	e, _ := a.awaitRequest(func(n *fleet.Node, now time.Duration) uint64 { return n.CollectDigests(now, part) })
	return e.Reports
}
