package front

import "hash/fnv"

// Index hands out small indices for keys: one that was released first, else the next.
type Index[K comparable] struct {
	byKey map[K]int
	keys  []K
	free  []int
}

// NewIndex makes an Index of some keys, numbered in their order.
func NewIndex[K comparable](keys ...K) *Index[K] {
	x := &Index[K]{byKey: make(map[K]int, len(keys))}
	for _, k := range keys {
		x.Intern(k)
	}
	return x
}

// Intern returns a key's index, a new one if the key has none.
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

// Release takes an index back; it may stand for another key from now on.
func (x *Index[K]) Release(i int) {
	delete(x.byKey, x.keys[i])
	x.free = append(x.free, i)
}

// Lookup returns the index of a key, if it has one.
func (x *Index[K]) Lookup(k K) (int, bool) {
	i, ok := x.byKey[k]
	return i, ok
}

// Key returns what an index stands for.
func (x *Index[K]) Key(i int) K { return x.keys[i] }

// Len is the number of indices in use.
func (x *Index[K]) Len() int { return len(x.byKey) }

// SessionHash is the fingerprint of a session's name, never 0.
func SessionHash(name []byte) uint64 {
	h := fnv.New64a()
	h.Write(name)
	return h.Sum64() | 1
}
