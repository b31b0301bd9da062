package front

import "hash/fnv"

// Index assigns small integer indices to keys. A new key gets a released index if there is one, otherwise the next higher index.
type Index[K comparable] struct {
	byKey map[K]int
	keys  []K
	free  []int // released indices
}

// NewIndex creates an Index that contains the keys, numbered in the given order from 0.
func NewIndex[K comparable](keys ...K) *Index[K] {
	x := &Index[K]{byKey: make(map[K]int, len(keys))}
	for _, k := range keys {
		x.Intern(k)
	}
	return x
}

// Intern returns the index of a key. It assigns one if the key has none.
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

// Release frees an index that is in use. Its key then has no index, and the index may be assigned to another key.
func (x *Index[K]) Release(i int) {
	delete(x.byKey, x.keys[i])
	x.free = append(x.free, i)
}

// Lookup returns the index of a key; it reports false if the key has none.
func (x *Index[K]) Lookup(k K) (int, bool) {
	i, ok := x.byKey[k]
	return i, ok
}

// Key returns the key to which an index was assigned last, even if the index was released since. It panics for an index that was never
// assigned.
func (x *Index[K]) Key(i int) K { return x.keys[i] }

// Len returns the number of indices in use.
func (x *Index[K]) Len() int { return len(x.byKey) }

// SessionHash returns a hash of a session's name. It is never 0, which stands for no session.
func SessionHash(name []byte) uint64 {
	h := fnv.New64a()
	h.Write(name)
	return h.Sum64() | 1
}
