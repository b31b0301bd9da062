package front

import (
	"fmt"

	"dapplerouter/routing"
)

// RequestEntry is a request in a RequestTable, with the state that every host of a router tracks.
type RequestEntry[T any] struct {
	Value    T
	InFlight int  // attempts that have not finished
	Attempts int  // attempts started so far
	Finished bool // the request has its response, or its client has disconnected

	inUse      bool
	generation uint32
}

// RequestTable holds requests in reusable slots. A reference consists of a slot and its generation, so a reference to a released request
// never refers to a later request in the same slot.
type RequestTable[T any] struct {
	slots []RequestEntry[T]
	free  []uint32
	inUse int
}

// Add puts a request into a free slot and returns its reference.
func (t *RequestTable[T]) Add(value T) routing.RequestRef {
	var slot uint32
	if n := len(t.free); n > 0 {
		slot, t.free = t.free[n-1], t.free[:n-1]
	} else {
		slot = uint32(len(t.slots))
		t.slots = append(t.slots, RequestEntry[T]{})
	}
	generation := t.slots[slot].generation + 1
	t.slots[slot] = RequestEntry[T]{Value: value, inUse: true, generation: generation}
	t.inUse++
	return routing.RequestRef{Slot: slot, Generation: generation}
}

// Get returns the entry of a request, or nil if the request was released. The zero reference has no entry.
func (t *RequestTable[T]) Get(ref routing.RequestRef) *RequestEntry[T] {
	if int(ref.Slot) >= len(t.slots) {
		return nil
	}
	if e := &t.slots[ref.Slot]; e.inUse && e.generation == ref.Generation {
		return e
	}
	return nil
}

// MustGet returns the entry of a request. It panics if the request was released, since a router must not refer to such a request.
func (t *RequestTable[T]) MustGet(ref routing.RequestRef) *RequestEntry[T] {
	e := t.Get(ref)
	if e == nil {
		panic(fmt.Sprintf("front: request %d.%d is not in the request table", ref.Slot, ref.Generation))
	}
	return e
}

// Each calls a function for every request that is not released, in the order of the slots. The function may release the entry.
func (t *RequestTable[T]) Each(call func(routing.RequestRef, *RequestEntry[T])) {
	for i := range t.slots {
		if e := &t.slots[i]; e.inUse {
			call(routing.RequestRef{Slot: uint32(i), Generation: e.generation}, e)
		}
	}
}

// Release frees the slot of a request if the request is finished and has no attempt in flight. It reports whether it did.
func (t *RequestTable[T]) Release(ref routing.RequestRef) bool {
	e := t.Get(ref)
	if e == nil || !e.Finished || e.InFlight > 0 {
		return false
	}
	*e = RequestEntry[T]{generation: e.generation}
	t.free = append(t.free, ref.Slot)
	t.inUse--
	return true
}

// Len returns the number of requests in the table, that is, those added and not yet released. It includes requests that are finished but
// have an attempt in flight.
func (t *RequestTable[T]) Len() int { return t.inUse }
