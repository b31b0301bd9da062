package sqlclass

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"unsafe"

	"github.com/cespare/xxhash/v2"
	"github.com/maypok86/otter/v2"
)

// NormalizedStatement is a normal form and what is known of it. All but what was measured is fixed once it is made.
type NormalizedStatement struct {
	Classification
	text          []byte
	matchingRules uint64 // a bit for each rule that matches but for its cost
	measured      measurements
}

// Text returns the normal form; it must not be changed.
func (s *NormalizedStatement) Text() []byte { return s.text }

// Fingerprint returns a label for people and logs, the same in every process. It is never a key: texts of two normal
// forms can be made that share it.
func (s *NormalizedStatement) Fingerprint() uint64 { return xxhash.Sum64(s.text) }

// Options are what a Classifier is made of.
type Options struct {
	CacheBytes int64 // that the cache may hold
	Lists      *NameLists
	Rules      []Rule
	Seed       uint64 // of the cache's checksums; 0: random
}

// Classifier classifies statements and caches what it found by their normal forms. It is safe for concurrent use.
type Classifier struct {
	lists         *NameLists
	rules         []Rule
	costs         *costModel
	seed          uint64
	maxCachedText int // length of a normal form that is cached
	cache         *otter.Cache[uint64, *NormalizedStatement]
	scratch       sync.Pool

	hits, misses, collisions, tooLong atomic.Uint64
}

// MinCacheBytes is the smallest cache that is of use.
const MinCacheBytes = 64 << 10

// entryBytes is what a cache entry takes beside its texts: the statement, the cache's node and its place in the map.
const entryBytes = int(unsafe.Sizeof(NormalizedStatement{})) + 160

// New makes a Classifier.
//
// The cache is otter's: of those weighed (docs/classing.md) the one that is bounded in bytes, keeps known entries
// through a flood of entries seen once (W-TinyLFU), and looks up without a lock or an allocation.
func New(o Options) *Classifier {
	c := &Classifier{lists: o.Lists, rules: o.Rules, costs: newCostModel(), seed: o.Seed,
		maxCachedText: int(min(max(o.CacheBytes, MinCacheBytes)/64, 64<<10))}
	if c.lists == nil {
		c.lists = NewNameLists(nil, nil, nil)
	}
	if c.seed == 0 {
		var b [8]byte
		_, _ = rand.Read(b[:]) // it never fails
		c.seed = binary.LittleEndian.Uint64(b[:])
	}
	c.cache = otter.Must(&otter.Options[uint64, *NormalizedStatement]{
		MaximumWeight: uint64(max(o.CacheBytes, MinCacheBytes)),
		Weigher:       func(_ uint64, s *NormalizedStatement) uint32 { return uint32(s.weight()) },
		Executor:      func(f func()) { f() }, // its upkeep runs with who caused it: a flood pays for itself
	})
	c.scratch.New = func() any { return &scratch{} }
	return c
}

func (s *NormalizedStatement) weight() int {
	n := entryBytes + cap(s.text) + len(s.Reason)
	for _, t := range s.Tables {
		n += len(t) + 16
	}
	return n
}

// scratch is the memory that classifying one text takes; it is used again for the next.
type scratch struct {
	scan     Scanner
	analyzer analyzer
	text     []byte // the normal form
	digest   xxhash.Digest
}

const maxScratchBytes = 16 << 10 // of a normal form's buffer that is reused for the next text

// release drops the references to the last text.
func (w *scratch) release() {
	if cap(w.text) > maxScratchBytes {
		w.text = nil
	}
	w.scan.text, w.analyzer.text, w.analyzer.scan.text, w.analyzer.result = nil, nil, nil, Classification{}
}

// Classify returns the normal form of a text, its class and its details. A syntax error is a text that no server would
// accept: nothing of it may be sent. Texts of one normal form share a NormalizedStatement while it is cached.
func (c *Classifier) Classify(text []byte) (*NormalizedStatement, Details, *SyntaxError) {
	w := c.scratch.Get().(*scratch)
	s, details, err := c.classify(w, text)
	w.release()
	c.scratch.Put(w)
	return s, details, err
}

func (c *Classifier) classify(w *scratch, text []byte) (*NormalizedStatement, Details, *SyntaxError) {
	if err := checkEncoding(text); err != nil {
		return nil, Details{}, err
	}
	normal, details, err := w.scan.Normalize(w.text[:0], text)
	w.text = normal
	if err != nil {
		copied := *err // the scanner is used again
		return nil, details, &copied
	}
	w.digest.ResetWithSeed(c.seed)
	_, _ = w.digest.Write(normal) // it never fails
	key := w.digest.Sum64()
	s, found := c.cache.GetIfPresent(key)
	if found && bytes.Equal(s.text, normal) { // equal checksums prove nothing: a client may have made them so
		c.hits.Add(1)
		return s, details, nil
	}
	c.misses.Add(1)
	fresh := &NormalizedStatement{Classification: w.analyzer.classify(text, c.lists), text: bytes.Clone(normal)}
	fresh.matchingRules = matchingRules(c.rules, &fresh.Classification)
	switch {
	case found: // the first entry stays, so that no client can evict it
		c.collisions.Add(1)
	case len(normal) > c.maxCachedText:
		c.tooLong.Add(1)
	default:
		if _, first := c.cache.SetIfAbsent(key, fresh); !first {
			if s, ok := c.cache.GetIfPresent(key); ok && bytes.Equal(s.text, normal) {
				fresh = s // another goroutine was faster
			}
		}
	}
	return fresh, details, nil
}

// Explain classifies a text without the cache, so that the offset of its reason is one in this text.
func (c *Classifier) Explain(text []byte) Classification {
	w := c.scratch.Get().(*scratch)
	defer c.scratch.Put(w)
	return w.analyzer.classify(text, c.lists)
}

// Stats are counts since the start, and what the cache holds.
type Stats struct {
	Hits, Misses, Collisions, TooLong, Entries, Bytes uint64
}

// Stats returns the counts.
func (c *Classifier) Stats() Stats {
	return Stats{Hits: c.hits.Load(), Misses: c.misses.Load(), Collisions: c.collisions.Load(),
		TooLong: c.tooLong.Load(), Entries: uint64(c.cache.EstimatedSize()), Bytes: c.cache.WeightedSize()}
}
