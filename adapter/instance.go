package adapter

import (
	"fmt"
	"time"

	"dapplerouter/deployment"
	"dapplerouter/front"
	"dapplerouter/routing"
	"dapplerouter/wire"
)

// instance hosts one router. It holds the router's clock, the mapping of ids, and the requests in flight.
type instance struct {
	adapter        *adapter
	id             int
	startedAt      int64         // in nanoseconds since the epoch
	positionOrigin time.Duration // log position 0, relative to the start of the instance
	router         routing.Router
	inBatch        bool // the instance is in adapter.active
	ids            ids
	requestTypes   []routing.RequestType
	requests       front.RequestTable[string]    // values are the requests' ids
	refs           map[string]routing.RequestRef // by request id
	endpoints      []routing.Endpoint            // buffer for the current update
}

// ids maps ids of the bench to indices for the router.
type ids struct {
	types, customers, zones, serverTypes *front.Index[string]
	servers, groups                      *front.Index[int64]
}

func newInstance(a *adapter, id int, s *deployment.Settings) *instance {
	return &instance{
		adapter:        a,
		id:             id,
		startedAt:      a.clock,
		positionOrigin: time.Duration(s.PositionOrigin - a.clock),
		ids: ids{
			types: front.NewIndex(s.TypeNames...), customers: front.NewIndex(s.CustomerNames...), zones: front.NewIndex(s.ZoneNames...),
			serverTypes: front.NewIndex[string](), servers: front.NewIndex[int64](), groups: front.NewIndex[int64](),
		},
		requestTypes: s.RequestTypes,
		refs:         map[string]routing.RequestRef{},
	}
}

// now returns the time of the current batch since the start of the instance. It is the same for all events of a batch, and 0 in the batch
// that starts the instance.
func (i *instance) now() time.Duration { return time.Duration(i.adapter.clock - i.startedAt) }

// fieldError returns an EventError for a field of the current event.
func (i *instance) fieldError(field string, cause error, problem string, args ...any) error {
	return &EventError{Batch: i.adapter.batch, Instance: i.id, Field: field, Problem: fmt.Sprintf(problem, args...), Cause: cause}
}

// server returns the index of a server. It returns an error if no endpoint list of the instance has contained the server.
func (i *instance) server(id int64) (int, error) {
	s, ok := i.ids.servers.Lookup(id)
	if !ok {
		return 0, i.fieldError("Store", ErrUnknownID, "%d is not on the endpoint list of this instance", id)
	}
	return s, nil
}

// load returns a load report with its log position converted to the instance's clock.
func (i *instance) load(a *wire.Attempt) routing.LoadReport {
	l := a.Load
	if l.HasPosition {
		l.Position = i.positionOrigin + time.Duration(a.LoadPosition*float64(time.Second))
	}
	return l
}

// handle passes an event of this instance to the router.
func (i *instance) handle(e *wire.Event) error {
	now := i.now()
	switch e.Kind {
	case wire.EndpointsChanged:
		return i.endpointsChanged(now, &e.Update)
	case wire.RequestReceived:
		return i.requestReceived(now, &e.Request)
	case wire.AttemptFinished:
		return i.attemptFinished(now, e.Request.ID, &e.Attempt)
	case wire.ClientGone:
		i.clientGone(now, e.Request.ID)
	case wire.TimerFired:
		i.router.TimerFired(now)
	case wire.HealthCheckFinished:
		s, err := i.server(e.Attempt.Server)
		if err != nil {
			return err
		}
		i.router.HealthCheckFinished(now, s, e.Attempt.Outcome.Result, e.Attempt.Outcome.Latency, i.load(&e.Attempt))
	case wire.GossipReceived:
		i.router.GossipReceived(now, e.Gossip.Peer, e.Gossip.Message)
	case wire.AttemptConnected, wire.InstanceStarted, wire.InstanceCrashed, wire.EndpointPage, wire.BatchStart, wire.BatchEnd:
		// nothing to do, or handled by the adapter
	}
	return nil
}

// attemptFinished passes the outcome of an attempt to the router. It releases the request if it is finished and has no other attempt in
// flight.
func (i *instance) attemptFinished(now time.Duration, id []byte, a *wire.Attempt) error {
	ref, ok := i.refs[string(id)]
	if !ok {
		return i.fieldError("Rid", ErrUnknownID, "request %s is not in flight", id)
	}
	s, err := i.server(a.Server)
	if err != nil {
		return err
	}
	entry := i.requests.MustGet(ref)
	if a.Outcome.AttemptNumber < 0 || a.Outcome.AttemptNumber >= entry.Attempts {
		return i.fieldError("Hop", ErrUnknownID, "attempt %d of request %s was not started", a.Outcome.AttemptNumber, id)
	}
	o := a.Outcome
	o.Ref, o.Server = ref, s
	o.Load = i.load(a)
	if a.PositionMillis != 0 {
		o.Position, o.HasPosition = i.positionOrigin+time.Duration(a.PositionMillis)*time.Millisecond, true
	}
	entry.InFlight--
	entry.Finished = entry.Finished || o.RequestFinished
	i.router.AttemptFinished(now, o)
	i.release(ref)
	return nil
}

// clientGone notifies the router that the client of a request has disconnected. It ignores requests that are finished or unknown.
func (i *instance) clientGone(now time.Duration, id []byte) {
	ref, ok := i.refs[string(id)]
	if !ok {
		return
	}
	if entry := i.requests.Get(ref); entry != nil && !entry.Finished {
		entry.Finished = true
		i.router.ClientGone(now, ref)
		i.release(ref)
	}
}

// endpointsChanged passes an update of the endpoint list to the router.
func (i *instance) endpointsChanged(now time.Duration, u *wire.EndpointUpdate) error {
	i.endpoints = i.endpoints[:0]
	if u.Kind != routing.UpdateFailed {
		pages := &i.adapter.pages
		if u.Page < 0 || u.Page >= len(pages) || pages[u.Page] == nil {
			return i.fieldError("Page", ErrUnknownID, "page %d was not received", u.Page)
		}
		for _, e := range pages[u.Page] {
			zone, ok := i.ids.zones.Lookup(e.Zone)
			if !ok {
				return i.fieldError("RegionPart", ErrUnknownID, "%q is not in Zones", e.Zone)
			}
			i.endpoints = append(i.endpoints, routing.Endpoint{Server: i.ids.servers.Intern(e.Server), Zone: zone,
				ServerType: i.ids.serverTypes.Intern(e.ServerType), Group: i.ids.groups.Intern(e.Group),
				State: e.State, Weight: e.Weight, Primary: e.Primary,
				StartedAt: time.Duration(e.StartedAt - i.startedAt), HasStartTime: e.StartedAt != 0})
		}
	}
	i.router.EndpointsChanged(now, u.Kind, u.Version, i.endpoints)
	return nil
}

// requestReceived adds a request to the table and passes it to the router.
func (i *instance) requestReceived(now time.Duration, in *wire.Request) error {
	req := in.Routing
	var ok bool
	if req.Type, ok = i.ids.types.Lookup(string(in.Type)); !ok {
		return i.fieldError("Qos", ErrUnknownID, "%q is not a class", in.Type)
	}
	req.Customer = routing.None
	if len(in.Customer) > 0 && string(in.Customer) != "0" && i.ids.customers.Len() > 0 {
		if req.Customer, ok = i.ids.customers.Lookup(string(in.Customer)); !ok {
			return i.fieldError("Customer", ErrUnknownID, "%q is not a tenant", in.Customer)
		}
	}
	if len(in.Session) > 0 {
		req.Session = front.SessionHash(in.Session)
	}
	req.Group = i.ids.groups.Intern(in.Group)
	req.MaxStaleness, req.DedupWindow = i.requestTypes[req.Type].MaxStaleness, i.requestTypes[req.Type].DedupWindow
	id := string(in.ID)
	if _, inFlight := i.refs[id]; inFlight {
		return i.fieldError("Rid", ErrDuplicateID, "request %s is already in flight", id)
	}
	req.Ref = i.requests.Add(id)
	i.refs[id] = req.Ref
	i.router.RequestReceived(now, req)
	return nil
}

// release frees the slot of a request if the request is finished and has no attempt in flight.
func (i *instance) release(ref routing.RequestRef) {
	entry := i.requests.Get(ref)
	if entry == nil {
		return
	}
	if id := entry.Value; i.requests.Release(ref) {
		delete(i.refs, id)
	}
}

// finish marks a request as finished, releases it if possible, and returns its id.
func (i *instance) finish(ref routing.RequestRef) (id string) {
	entry := i.requests.MustGet(ref)
	id = entry.Value
	entry.Finished = true
	i.release(ref)
	return id
}

// StartAttempt implements routing.Host.
func (i *instance) StartAttempt(ref routing.RequestRef, server int, timeout time.Duration) {
	entry := i.requests.MustGet(ref)
	entry.InFlight++
	entry.Attempts++
	i.adapter.out.StartAttempt(i.id, entry.Value, i.ids.servers.Key(server), int64(timeout))
}

// CancelAttempt implements routing.Host.
func (i *instance) CancelAttempt(ref routing.RequestRef, attemptNumber int) {
	i.adapter.out.CancelAttempt(i.id, i.requests.MustGet(ref).Value, attemptNumber)
}

// Reject implements routing.Host.
func (i *instance) Reject(ref routing.RequestRef, retryAfter time.Duration) {
	i.adapter.out.Reject(i.id, i.finish(ref), int64(retryAfter))
}

// Fail implements routing.Host.
func (i *instance) Fail(ref routing.RequestRef) { i.adapter.out.Fail(i.id, i.finish(ref)) }

// StartHealthCheck implements routing.Host.
func (i *instance) StartHealthCheck(server int) {
	i.adapter.out.StartHealthCheck(i.id, i.ids.servers.Key(server))
}

// ReleaseServer implements routing.Host.
func (i *instance) ReleaseServer(server int) { i.ids.servers.Release(server) }

// WatchEndpoints implements routing.Host.
func (i *instance) WatchEndpoints(on bool) { i.adapter.out.WatchEndpoints(i.id, on) }

// FetchEndpoints implements routing.Host.
func (i *instance) FetchEndpoints() { i.adapter.out.FetchEndpoints(i.id) }

// SendGossip implements routing.Host.
func (i *instance) SendGossip(peer int, message []byte) {
	i.adapter.out.SendGossip(i.id, peer, message)
}

// SetTimer implements routing.Host. It requests a TimerFired event after the given time, which is sent in nanoseconds. All timers of an
// instance have the same token.
func (i *instance) SetTimer(after time.Duration) {
	i.adapter.out.SetTimer(i.id, int64(after), "wake")
}

// Log implements routing.Host. It writes the message as an action for the bench's report, not to the log of this process.
func (i *instance) Log(message string) { i.adapter.out.Log(i.id, message) }
