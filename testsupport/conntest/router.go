package conntest

import (
	"slices"
	"time"

	"dapplerouter/routing"
)

// Router sends each request to server 0 and fails what that does not serve. It notes what it is notified of.
type Router struct {
	routing.Host
	Received chan routing.Request
	Finished chan routing.AttemptOutcome
	Gone     chan routing.RequestRef

	pending []routing.RequestRef // received in this batch
}

func newRouter() *Router {
	const noted = 100 // enough for every test: a router must not block
	return &Router{Received: make(chan routing.Request, noted), Finished: make(chan routing.AttemptOutcome, noted),
		Gone: make(chan routing.RequestRef, noted)}
}

// RequiredPosition implements routing.Router: no read is bound to a position.
func (r *Router) RequiredPosition(routing.RequestRef) (time.Duration, bool) { return 0, false }

// EndpointsChanged implements routing.Router.
func (r *Router) EndpointsChanged(time.Duration, routing.UpdateKind, int64, []routing.Endpoint) {}

// RequestReceived implements routing.Router.
func (r *Router) RequestReceived(_ time.Duration, t routing.Request) {
	r.pending = append(r.pending, t.Ref)
	r.Received <- t
}

// AttemptFinished implements routing.Router.
func (r *Router) AttemptFinished(_ time.Duration, o routing.AttemptOutcome) {
	if !o.RequestFinished {
		r.Fail(o.Ref)
	}
	r.Finished <- o
}

// ClientGone implements routing.Router. As in service, a request whose client left in the batch in which it came is sent nowhere.
func (r *Router) ClientGone(_ time.Duration, ref routing.RequestRef) {
	r.pending = slices.DeleteFunc(r.pending, func(pending routing.RequestRef) bool { return pending == ref })
	r.Gone <- ref
}

// ClockCorrected implements routing.Router.
func (r *Router) ClockCorrected(time.Duration, time.Duration) {}

// GossipReceived implements routing.Router.
func (r *Router) GossipReceived(time.Duration, int, []byte) {}

// TimerFired implements routing.Router.
func (r *Router) TimerFired(time.Duration) {}

// Reconcile implements routing.Router: it starts what has come in this batch.
func (r *Router) Reconcile(time.Duration) {
	for _, ref := range r.pending {
		r.StartAttempt(ref, 0, 0)
	}
	r.pending = r.pending[:0]
}

// HealthCheckFinished implements routing.Router.
func (r *Router) HealthCheckFinished(time.Duration, int, routing.AttemptResult, time.Duration, routing.LoadReport) {
}

// noEndpointSource implements front.EndpointSource: lists are posted by the tests.
type noEndpointSource struct{}

func (noEndpointSource) Watch(bool) {}

func (noEndpointSource) Fetch() {}
