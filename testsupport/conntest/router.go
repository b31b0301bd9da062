package conntest

import (
	"slices"
	"time"

	"dapplerouter/routing"
)

// Router sends each request to server 0, and fails a request that server 0 does not serve. It records received requests,
// finished attempts and requests whose client is gone in its channels.
type Router struct {
	routing.Host
	Received chan routing.Request
	Finished chan routing.AttemptOutcome
	Gone     chan routing.RequestRef

	pending []routing.RequestRef // received in the current batch
}

// newRouter returns a Router whose channels hold enough for every test.
func newRouter() *Router {
	const capacity = 100 // enough for every test, because a router must not block
	return &Router{Received: make(chan routing.Request, capacity), Finished: make(chan routing.AttemptOutcome, capacity),
		Gone: make(chan routing.RequestRef, capacity)}
}

// RequiredPosition implements routing.Router: no read requires a position.
func (r *Router) RequiredPosition(routing.RequestRef) (time.Duration, bool) { return 0, false }

// FreshUntil implements routing.Router: no attempt has to be sent before a time.
func (r *Router) FreshUntil(routing.RequestRef) (time.Duration, bool) { return 0, false }

// MayServe implements routing.Router: any result may be served.
func (r *Router) MayServe(routing.RequestRef, routing.ReadResult) bool { return true }

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

// ClientGone implements routing.Router. As in the real router, a request whose client leaves in the batch in which it was
// received is not sent to a server.
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

// Reconcile implements routing.Router: it starts an attempt for each request of the current batch.
func (r *Router) Reconcile(time.Duration) {
	for _, ref := range r.pending {
		r.StartAttempt(ref, 0, 0)
	}
	r.pending = r.pending[:0]
}

// HealthCheckFinished implements routing.Router.
func (r *Router) HealthCheckFinished(time.Duration, int, routing.AttemptResult, time.Duration, routing.LoadReport) {
}

// noEndpointSource implements front.EndpointSource without a list, because the tests post the lists.
type noEndpointSource struct{}

func (noEndpointSource) Watch(bool) {}

func (noEndpointSource) Fetch() {}
