package front

import (
	"fmt"
	"hash/fnv"

	"dapplerouter/routing"
)

// Index hands out small indices, one that was given back first, else the next.
type Index[K comparable] struct {
	byKey map[K]int
	keys  []K
	free  []int
}

// NewIndex makes an Index that knows some keys already.
func NewIndex[K comparable](keys ...K) *Index[K] {
	x := &Index[K]{byKey: make(map[K]int, len(keys))}
	for _, k := range keys {
		x.Intern(k)
	}
	return x
}

// Intern gives a key's index, a new one if need be.
func (x *Index[K]) Intern(k K) int {
	i, ok := x.byKey[k]
	if ok {
		return i
	}
	if n := len(x.free); n > 0 {
		i, x.free = x.free[n-1], x.free[:n-1]
		x.keys[i] = k
	} else {
		i, x.keys = len(x.keys), append(x.keys, k)
	}
	x.byKey[k] = i
	return i
}

// Release gives an index back; it may stand for another key from now on.
func (x *Index[K]) Release(i int) {
	delete(x.byKey, x.keys[i])
	x.free = append(x.free, i)
}

// Lookup gives the index of a key that is known.
func (x *Index[K]) Lookup(k K) (int, bool) {
	i, ok := x.byKey[k]
	return i, ok
}

// Key gives back what an index stands for.
func (x *Index[K]) Key(i int) K { return x.keys[i] }

// Len is the number of indices in use.
func (x *Index[K]) Len() int { return len(x.byKey) }

// SessionHash is the fingerprint of a session's name, never 0.
func SessionHash(name []byte) uint64 {
	h := fnv.New64a()
	h.Write(name)
	return h.Sum64() | 1
}

// RequestEntry is the host's side of a request in hand.
type RequestEntry[T any] struct {
	Value      T
	InFlight   int  // attempts without an ending
	Attempts   int  // attempts so far
	Finished   bool // finally answered
	inUse      bool
	generation uint32
}

// RequestTable is a slab of slots whose places are reused.
type RequestTable[T any] struct {
	slots []RequestEntry[T]
	free  []uint32
	inUse int
}

// Add takes a place for a request.
func (d *RequestTable[T]) Add(what T) routing.RequestRef {
	var place uint32
	if n := len(d.free); n > 0 {
		place, d.free = d.free[n-1], d.free[:n-1]
	} else {
		place = uint32(len(d.slots))
		d.slots = append(d.slots, RequestEntry[T]{})
	}
	turn := d.slots[place].generation + 1
	d.slots[place] = RequestEntry[T]{Value: what, inUse: true, generation: turn}
	d.inUse++
	return routing.RequestRef{Slot: place, Generation: turn}
}

// Get finds the slot of a request in hand, or nil; the zero Ref is never in hand.
func (d *RequestTable[T]) Get(r routing.RequestRef) *RequestEntry[T] {
	if int(r.Slot) >= len(d.slots) {
		return nil
	}
	if o := &d.slots[r.Slot]; o.inUse && o.generation == r.Generation {
		return o
	}
	return nil
}

// Each calls with every slot in hand; the call may release its own.
func (d *RequestTable[T]) Each(call func(routing.RequestRef, *RequestEntry[T])) {
	for i := range d.slots {
		if o := &d.slots[i]; o.inUse {
			call(routing.RequestRef{Slot: uint32(i), Generation: o.generation}, o)
		}
	}
}

// MustGet finds the slot of a request that the module names.
func (d *RequestTable[T]) MustGet(r routing.RequestRef) *RequestEntry[T] {
	o := d.Get(r)
	if o == nil {
		panic(fmt.Sprintf("request %d.%d is not in hand", r.Slot, r.Generation))
	}
	return o
}

// Release gives a place back once its request is answered and every attempt has ended, and says whether it did.
func (d *RequestTable[T]) Release(r routing.RequestRef) bool {
	o := d.Get(r)
	if o == nil || !o.Finished || o.InFlight > 0 {
		return false
	}
	turn := o.generation
	*o = RequestEntry[T]{generation: turn}
	d.free = append(d.free, r.Slot)
	d.inUse--
	return true
}

// Len is the number of requests in hand.
func (d *RequestTable[T]) Len() int { return d.inUse }
