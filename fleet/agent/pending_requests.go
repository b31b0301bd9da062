package agent

import (
	"sync"
	"time"

	"dapplerouter/adminapi"
	"dapplerouter/fleet"
)

// errNoAnswer is a request that no leader answered in time.
const errNoAnswer = adminapi.RejectedError("no answer of the fleet")

// pendingRequests are requests to the leader that wait for their end.
type pendingRequests struct {
	mu   sync.Mutex // guards byID
	byID map[uint64]chan<- fleet.RequestDone
}

// add adds a request; its end goes to done, which must have room for it.
func (p *pendingRequests) add(id uint64, done chan<- fleet.RequestDone) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byID == nil {
		p.byID = map[uint64]chan<- fleet.RequestDone{}
	}
	p.byID[id] = done
}

// remove removes a request that nobody waits for any more.
func (p *pendingRequests) remove(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byID, id)
}

// finish hands the end of a request to whoever waits for it.
func (p *pendingRequests) finish(e fleet.RequestDone) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if done := p.byID[e.ID]; done != nil {
		done <- e
		delete(p.byID, e.ID)
	}
}

// requestLeader sends a request to the leader and waits for its answer: nil, or the reason of its rejection as a RejectedError.
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

// awaitRequest sends a request to the leader and waits for its end; ok is false where none came in time.
func (a *Agent) awaitRequest(send func(n *fleet.Node, now time.Duration) (id uint64)) (e fleet.RequestDone, ok bool) {
	done := make(chan fleet.RequestDone, 1)
	var id uint64
	a.mesh.Do(func(n *fleet.Node, now time.Duration) {
		id = send(n, now)
		a.requests.add(id, done) // before its end can come, since the mesh's lock is held
	})
	select {
	case e := <-done:
		return e, true
	case <-time.After(5 * a.config.LeaseDuration):
		a.requests.remove(id)
		return e, false
	}
}

// collectDigests returns all fronts' digests of a part, none without a leader.
func (a *Agent) collectDigests(part string) []fleet.MemberReport {
	e, _ := a.awaitRequest(func(n *fleet.Node, now time.Duration) uint64 { return n.CollectDigests(now, part) })
	return e.Reports
}
