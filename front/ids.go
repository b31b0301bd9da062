package front

import (
	"fmt"
	"hash/fnv"

	"dapplerouter/port"
)

// Index hands out small indices, one that was given back first, else the next.
type Index[K comparable] struct {
	at   map[K]int
	keys []K
	free []int
}

// NewIndex makes an Index that knows some keys already.
func NewIndex[K comparable](keys ...K) *Index[K] {
	x := &Index[K]{at: make(map[K]int, len(keys))}
	for _, k := range keys {
		x.Number(k)
	}
	return x
}

// Number gives a key's index, a new one if need be.
func (x *Index[K]) Number(k K) int {
	i, ok := x.at[k]
	if ok {
		return i
	}
	if n := len(x.free); n > 0 {
		i, x.free = x.free[n-1], x.free[:n-1]
		x.keys[i] = k
	} else {
		i, x.keys = len(x.keys), append(x.keys, k)
	}
	x.at[k] = i
	return i
}

// Free gives an index back; it may stand for another key from now on.
func (x *Index[K]) Free(i int) {
	delete(x.at, x.keys[i])
	x.free = append(x.free, i)
}

// Find gives the index of a key that is known.
func (x *Index[K]) Find(k K) (int, bool) {
	i, ok := x.at[k]
	return i, ok
}

// Key gives back what an index stands for.
func (x *Index[K]) Key(i int) K { return x.keys[i] }

// Len is the number of indices in use.
func (x *Index[K]) Len() int { return len(x.at) }

// Session is the fingerprint of a session's name, never 0.
func Session(name []byte) uint64 {
	h := fnv.New64a()
	h.Write(name)
	return h.Sum64() | 1
}

// Slot is the host's side of a request in hand.
type Slot[T any] struct {
	What   T
	Out    int  // attempts without an ending
	Hops   int  // attempts so far
	Closed bool // finally answered
	held   bool
	turn   uint32
}

// Slab is a slab of slots whose places are reused.
type Slab[T any] struct {
	slots []Slot[T]
	free  []uint32
	held  int
}

// Open takes a place for a request.
func (d *Slab[T]) Open(what T) port.RequestRef {
	var place uint32
	if n := len(d.free); n > 0 {
		place, d.free = d.free[n-1], d.free[:n-1]
	} else {
		place = uint32(len(d.slots))
		d.slots = append(d.slots, Slot[T]{})
	}
	turn := d.slots[place].turn + 1
	d.slots[place] = Slot[T]{What: what, held: true, turn: turn}
	d.held++
	return port.RequestRef{Slot: place, Generation: turn}
}

// At finds the slot of a request in hand, or nil; the zero Ref is never in hand.
func (d *Slab[T]) At(r port.RequestRef) *Slot[T] {
	if int(r.Slot) >= len(d.slots) {
		return nil
	}
	if o := &d.slots[r.Slot]; o.held && o.turn == r.Generation {
		return o
	}
	return nil
}

// Each calls with every slot in hand; the call may release its own.
func (d *Slab[T]) Each(call func(port.RequestRef, *Slot[T])) {
	for i := range d.slots {
		if o := &d.slots[i]; o.held {
			call(port.RequestRef{Slot: uint32(i), Generation: o.turn}, o)
		}
	}
}

// Must finds the slot of a request that the module names.
func (d *Slab[T]) Must(r port.RequestRef) *Slot[T] {
	o := d.At(r)
	if o == nil {
		panic(fmt.Sprintf("request %d.%d is not in hand", r.Slot, r.Generation))
	}
	return o
}

// Release gives a place back once its request is answered and every attempt has ended, and says whether it did.
func (d *Slab[T]) Release(r port.RequestRef) bool {
	o := d.At(r)
	if o == nil || !o.Closed || o.Out > 0 {
		return false
	}
	turn := o.turn
	*o = Slot[T]{turn: turn}
	d.free = append(d.free, r.Slot)
	d.held--
	return true
}

// Held is the number of requests in hand.
func (d *Slab[T]) Held() int { return d.held }
