// Package adapter hosts routers that the bench drives over the protocol of package wire. It maps the ids of package wire to the small
// indices of package routing, and back. It makes no routing decisions.
//
// The goroutine that calls Run owns all state. Invariants: Events are accepted within batches only, and the actions of a batch are written
// before the batch is acknowledged. Each outcome of an attempt is passed to the router once. The slot of a request is freed when the
// request is finished and has no attempt in flight. After a panic of a router, no router is called any more.
package adapter

import (
	"errors"
	"fmt"
	"io"

	"dapplerouter/front"
	"dapplerouter/routing"
	"dapplerouter/wire"
)

// Causes of an EventError, for errors.Is.
var (
	ErrBatchOrder      = errors.New("event out of batch order")
	ErrUnknownInstance = errors.New("unknown instance")
	ErrUnknownID       = errors.New("unknown id")
	ErrDuplicateID     = errors.New("duplicate id")
)

// EventError reports an event that is well-formed but cannot be handled.
type EventError struct {
	Batch    string
	Instance int    // -1 if the error does not belong to an instance
	Field    string // "" if no field is the cause
	Problem  string
	Cause    error // one of the sentinel errors above
}

func (e *EventError) Error() string {
	text := e.Problem
	if e.Field != "" {
		text = "field " + e.Field + ": " + text
	}
	if e.Instance >= 0 {
		text = fmt.Sprintf("front-%d: %s", e.Instance, text)
	}
	if e.Batch != "" {
		text = "batch " + e.Batch + ": " + text
	}
	return text
}

func (e *EventError) Unwrap() error { return e.Cause }

// Run reads batches of events from in and writes the routers' actions to out. Instances get their routers from newRouter. Run returns nil
// if in ends between batches, io.ErrUnexpectedEOF if in ends within a batch, a *wire.Error or an *EventError for an event that cannot be
// handled, or an error of in or out.
func Run(in io.Reader, out io.Writer, newRouter front.RouterFactory) error {
	a := &adapter{out: wire.NewWriter(out), newRouter: newRouter, instances: map[int]*instance{}}
	reader := wire.NewReader(in)
	var e wire.Event
	inBatch := false
	for {
		err := reader.Next(&e)
		if errors.Is(err, io.EOF) {
			if inBatch {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err != nil {
			return err
		}
		switch {
		case e.Kind == wire.BatchStart:
			if inBatch {
				return &EventError{Batch: a.batch, Instance: -1, Problem: "mark within a batch", Cause: ErrBatchOrder}
			}
			inBatch, a.clock, a.batch = true, e.Batch.Clock, string(e.Batch.ID)
		case !inBatch:
			return &EventError{Instance: -1, Problem: "event outside a batch, before a mark", Cause: ErrBatchOrder}
		case e.Kind == wire.BatchEnd:
			inBatch = false
			if err := a.endBatch(); err != nil {
				return err
			}
		default:
			if err := a.handle(&e); err != nil {
				return err
			}
		}
	}
}

// adapter is the state of Run.
type adapter struct {
	out       *wire.Writer
	newRouter front.RouterFactory
	clock     int64  // time of the current batch, in nanoseconds since the epoch
	batch     string // id of the current batch
	pages     [wire.MaxPage + 1][]wire.Entry
	instances map[int]*instance
	active    []*instance // the instances with an event in the current batch, in the order of their first events
	panicked  bool        // a panic was reported; no router is called any more
}

// endBatch calls Reconcile of every instance that had an event in the batch, and acknowledges the batch.
func (a *adapter) endBatch() error {
	for _, i := range a.active {
		i.inBatch = false
		if a.instances[i.id] == i {
			a.callRouter(i.id, func() { i.router.Reconcile(i.now()) })
		}
	}
	a.active = a.active[:0]
	return a.out.EndBatch(a.batch)
}

// callRouter executes a call of an instance's router. It recovers a panic and reports it to the bench as an action.
func (a *adapter) callRouter(id int, call func()) {
	if a.panicked {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			a.panicked = true
			a.out.Panic(id, fmt.Sprint(p))
		}
	}()
	call()
}

// handle handles one event of a batch.
func (a *adapter) handle(e *wire.Event) error {
	switch e.Kind {
	case wire.EndpointPage:
		a.pages[e.Page.Number] = append([]wire.Entry{}, e.Page.Entries...) // not nil, which stands for a page that was not received
		return nil
	case wire.InstanceCrashed:
		delete(a.instances, e.Instance)
		return nil
	case wire.InstanceStarted:
		i := newInstance(a, e.Instance, e.Start.Settings)
		a.instances[e.Instance] = i
		a.callRouter(i.id, func() {
			s := e.Start.Settings
			i.router = a.newRouter(i, routing.Options{Seed: e.Start.Seed, Topology: s.Topology, RequestTypes: s.RequestTypes,
				Customers: s.CustomerQuotas, Replication: s.Replication, DeploymentRules: s.DeploymentRules, Limits: s.Limits, CostWeights: s.CostWeights})
		})
	default: // an event of a running instance
	}
	i := a.instances[e.Instance]
	if i == nil {
		return &EventError{Batch: a.batch, Instance: -1, Field: "Front",
			Problem: fmt.Sprintf("event for front-%d, which is not running", e.Instance), Cause: ErrUnknownInstance}
	}
	if !i.inBatch {
		i.inBatch = true
		a.active = append(a.active, i)
	}
	var err error
	a.callRouter(i.id, func() { err = i.handle(e) })
	return err
}
