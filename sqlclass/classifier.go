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

// NormalizedStatement is a normal form with its classification and its measured latencies. Everything except the
// measurements is immutable after construction.
type NormalizedStatement struct {
	Classification
	text          []byte
	matchingRules uint64 // one bit for each rule whose conditions other than the cost are met
	measured      measurements
}

// Text returns the normal form. The caller must not modify it.
func (s *NormalizedStatement) Text() []byte { return s.text }

// Fingerprint returns a checksum of the normal form for people and logs. It is the same in every process. It must not be
// used as a key, since a client can construct two normal forms with the same checksum.
func (s *NormalizedStatement) Fingerprint() uint64 { return xxhash.Sum64(s.text) }

// Options configure a Classifier.
type Options struct {
	CacheBytes int64 // maximum size of the cache; at least MinCacheBytes is used
	Lists      *NameLists
	Rules      []Rule
	Seed       uint64 // seed of the cache's checksums; 0 for a random seed
}

// Classifier classifies statements and caches the results under their normal forms. It also estimates the latency of
// statements from measurements. It is safe for concurrent use.
type Classifier struct {
	lists         *NameLists
	rules         []Rule
	costs         *costModel
	seed          uint64
	maxCachedText int // longest normal form that is cached, in bytes
	cache         *otter.Cache[uint64, *NormalizedStatement]
	scratch       sync.Pool

	hits, misses, collisions, tooLong atomic.Uint64
}

// MinCacheBytes is the smallest cache size; New raises a smaller size to it.
const MinCacheBytes = 64 << 10

// entryBytes is the size of a cache entry without its texts: the NormalizedStatement plus the cache's own node and map
// entry.
const entryBytes = int(unsafe.Sizeof(NormalizedStatement{})) + 160

// New returns a Classifier.
//
// The cache is an otter cache. Among the caches compared in docs/classing.md it is the one that has a size limit in bytes,
// keeps frequently used entries during a flood of entries that are used once (W-TinyLFU), and looks up entries without
// a lock or an allocation.
func New(o Options) *Classifier {
	c := &Classifier{lists: o.Lists, rules: o.Rules, costs: newCostModel(), seed: o.Seed,
		maxCachedText: int(min(max(o.CacheBytes, MinCacheBytes)/64, 64<<10))}
	if c.lists == nil {
		c.lists = NewNameLists(nil, nil, nil)
	}
	if c.seed == 0 {
		var b [8]byte
		_, _ = rand.Read(b[:]) // never returns an error
		c.seed = binary.LittleEndian.Uint64(b[:])
	}
	c.cache = otter.Must(&otter.Options[uint64, *NormalizedStatement]{
		MaximumWeight: uint64(max(o.CacheBytes, MinCacheBytes)),
		Weigher:       func(_ uint64, s *NormalizedStatement) uint32 { return uint32(s.weight()) },
		Executor:      func(f func()) { f() }, // maintenance runs in the goroutine that causes it: a flood slows only its senders
	})
	c.scratch.New = func() any { return &scratch{} }
	return c
}

// weight returns the size of the statement's cache entry in bytes.
func (s *NormalizedStatement) weight() int {
	n := entryBytes + cap(s.text) + len(s.Reason)
	for _, t := range s.Tables {
		n += len(t) + 16
	}
	return n
}

// scratch is the working memory for classifying one text. It is pooled and reused.
type scratch struct {
	scan     Scanner
	analyzer analyzer
	text     []byte // the normal form
	digest   xxhash.Digest
}

const maxScratchBytes = 16 << 10 // a larger buffer for the normal form is not reused

// release drops the references to the classified text, and a buffer that is too large to keep.
func (w *scratch) release() {
	if cap(w.text) > maxScratchBytes {
		w.text = nil
	}
	w.scan.text, w.analyzer.text, w.analyzer.scan.text, w.analyzer.result = nil, nil, nil, Classification{}
}

// Classify returns the normal form of a text with its classification, and the text's details. A syntax error means that
// no server would accept the text; it must not be sent. Texts with the same normal form share a NormalizedStatement while
// it is cached.
func (c *Classifier) Classify(text []byte) (*NormalizedStatement, TextDetails, *SyntaxError) {
	w := c.scratch.Get().(*scratch)
	s, details, err := c.classify(w, text)
	w.release()
	c.scratch.Put(w)
	return s, details, err
}

// classify is Classify with the given working memory.
func (c *Classifier) classify(w *scratch, text []byte) (*NormalizedStatement, TextDetails, *SyntaxError) {
	if err := checkEncoding(text); err != nil {
		return nil, TextDetails{}, err
	}
	normal, details, err := w.scan.Normalize(w.text[:0], text)
	w.text = normal
	if err != nil {
		copied := *err // err points into the scanner, which is reused
		return nil, details, &copied
	}
	w.digest.ResetWithSeed(c.seed)
	_, _ = w.digest.Write(normal) // never returns an error
	key := w.digest.Sum64()
	s, found := c.cache.GetIfPresent(key)
	if found && bytes.Equal(s.text, normal) { // a client may have constructed a text with an equal checksum
		c.hits.Add(1)
		return s, details, nil
	}
	c.misses.Add(1)
	fresh := &NormalizedStatement{Classification: w.analyzer.classify(text, c.lists), text: bytes.Clone(normal)}
	fresh.matchingRules = matchingRules(c.rules, &fresh.Classification)
	switch {
	case found: // the existing entry stays, so that no client can evict it by a collision
		c.collisions.Add(1)
	case len(normal) > c.maxCachedText:
		c.tooLong.Add(1)
	default:
		if _, first := c.cache.SetIfAbsent(key, fresh); !first {
			if s, ok := c.cache.GetIfPresent(key); ok && bytes.Equal(s.text, normal) {
				fresh = s // another goroutine has cached the same normal form meanwhile
			}
		}
	}
	return fresh, details, nil
}

// Explain classifies a text without the cache, so that ReasonOffset is an offset in this text.
func (c *Classifier) Explain(text []byte) Classification {
	w := c.scratch.Get().(*scratch)
	defer c.scratch.Put(w)
	return w.analyzer.classify(text, c.lists)
}

// Stats are the counters of a Classifier since it was made, and the current size of its cache. Collisions counts the
// lookups that found the entry of another normal form with the same checksum. TooLong counts the normal forms that were
// too long to be cached.
type Stats struct {
	Hits, Misses, Collisions, TooLong, Entries, Bytes uint64
}

// Stats returns the current counters.
func (c *Classifier) Stats() Stats {
	return Stats{Hits: c.hits.Load(), Misses: c.misses.Load(), Collisions: c.collisions.Load(),
		TooLong: c.tooLong.Load(), Entries: uint64(c.cache.EstimatedSize()), Bytes: c.cache.WeightedSize()}
}
