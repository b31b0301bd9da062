// Package adapter hosts routers and lets the bench drive them: it maps the ids of package wire to the small indices of
// package routing, and back. It decides nothing.
//
// One goroutine, that of Run, owns all state. Invariants: events are taken within batches only, and a batch's actions are
// written before its end is acknowledged; an attempt's outcome reaches the router once; a request's slot is free again when
// it has its final answer and no attempt is in flight; after a panic of a router nothing more is decided.
package adapter

import (
	"errors"
	"fmt"
	"io"

	"dapplerouter/front"
	"dapplerouter/routing"
	"dapplerouter/wire"
)

// Causes of an error of Run beside those of package wire, for errors.Is.
var (
	ErrBatchOrder      = errors.New("event out of batch order")
	ErrUnknownInstance = errors.New("unknown instance")
	ErrUnknownID       = errors.New("unknown id")
	ErrDuplicateID     = errors.New("duplicate id")
)

// EventError is an event that can't be taken.
type EventError struct {
	Batch    string
	Instance int    // -1 where the event has none
	Field    string // "" where no field is the cause
	Problem  string
	Cause    error // one of the sentinels above
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

// Run reads batches of events from in and writes their actions to out, until in ends between batches. Routers are made by
// newRouter. It returns io.ErrUnexpectedEOF where in ends within a batch, a *wire.Error or an *EventError for an event that
// can't be taken, or an error of in or out.
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
				return &EventError{Batch: a.batch, Instance: -1, Problem: "a mark within the batch", Cause: ErrBatchOrder}
			}
			inBatch, a.clock, a.batch = true, e.Batch.Clock, string(e.Batch.ID)
		case !inBatch:
			return &EventError{Instance: -1, Problem: "an event before any mark", Cause: ErrBatchOrder}
		case e.Kind == wire.BatchEnd:
			inBatch = false
			if err := a.endBatch(); err != nil {
				return err
			}
		default:
			if err := a.take(&e); err != nil {
				return err
			}
		}
	}
}

// adapter is the state of Run.
type adapter struct {
	out       *wire.Writer
	newRouter front.RouterFactory
	clock     int64  // of the batch, in nanoseconds since the epoch
	batch     string // its id
	pages     [wire.MaxPage + 1][]wire.Entry
	instances map[int]*instance
	active    []*instance // with an event in this batch, in the order of their first
	panicked  bool        // a panic was reported: nothing more is decided
}

// endBatch has every instance with an event emit its actions, and acknowledges the batch.
func (a *adapter) endBatch() error {
	for _, i := range a.active {
		i.inBatch = false
		if a.instances[i.id] == i {
			a.guard(i.id, func() { i.router.Reconcile(i.now()) })
		}
	}
	a.active = a.active[:0]
	return a.out.EndBatch(a.batch)
}

// guard calls a router, and reports its panic as an action.
func (a *adapter) guard(id int, call func()) {
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

// take takes one event of a batch.
func (a *adapter) take(e *wire.Event) error {
	switch e.Kind {
	case wire.EndpointPage:
		a.pages[e.Page.Number] = append([]wire.Entry{}, e.Page.Entries...) // not nil: an empty page is a page
		return nil
	case wire.InstanceCrashed:
		delete(a.instances, e.Instance)
		return nil
	case wire.InstanceStarted:
		i := newInstance(a, e.Instance, e.Start.Settings)
		a.instances[e.Instance] = i
		a.guard(i.id, func() {
			s := e.Start.Settings
			i.router = a.newRouter(i, routing.Options{Seed: e.Start.Seed, Topology: s.Topology, RequestTypes: s.RequestTypes,
				Customers: s.CustomerQuotas, Replication: s.Replication, Guardrails: s.Guardrails, Limits: s.Limits, CostWeights: s.CostWeights})
		})
	default: // of an instance that runs
	}
	i := a.instances[e.Instance]
	if i == nil {
		return &EventError{Batch: a.batch, Instance: -1, Field: "Front",
			Problem: fmt.Sprintf("an event for front-%d, which is not running", e.Instance), Cause: ErrUnknownInstance}
	}
	if !i.inBatch {
		i.inBatch = true
		a.active = append(a.active, i)
	}
	var err error
	a.guard(i.id, func() { err = i.event(e) })
	return err
}
