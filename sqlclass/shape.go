package sqlclass

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"slices"
	"sync"
	"sync/atomic"
	"time"
	"unsafe"

	"github.com/cespare/xxhash/v2"
	"github.com/maypok86/otter/v2"
)

// NormalizedStatement is a form and what is known of it. All but what was measured is fixed once it is made.
type NormalizedStatement struct {
	Classification
	form []byte
	fits uint64 // by rule: all but its cost fits
	own  own
}

// Text is the normal form; it must not be changed.
func (s *NormalizedStatement) Text() []byte { return s.form }

// Fingerprint is a label for people and logs, the same in every process. It is never a key: texts of two
// forms can be made that share it.
func (s *NormalizedStatement) Fingerprint() uint64 { return xxhash.Sum64(s.form) }

// Rule names the request type of statements that fit it. What is left out fits all.
type Rule struct {
	Type   string
	Class  Class // Unknown: any
	Verbs  []string
	Tables []string // the statement names one of them
	Below  time.Duration
	Above  time.Duration // of the estimate: at least Above, less than Below
}

// MaxRules is how many rules there may be.
const MaxRules = 64

func (r *Rule) fits(v *Classification) bool {
	write := v.Class != Read
	return (r.Class == Unknown || (r.Class == Write) == write) &&
		(len(r.Verbs) == 0 || slices.Contains(r.Verbs, v.Verb)) &&
		(len(r.Tables) == 0 || slices.ContainsFunc(r.Tables, func(t string) bool { return slices.Contains(v.Tables, t) }))
}

// Options are what Classing is made of.
type Options struct {
	CacheBytes int64 // that the cache may hold
	Lists      *NameLists
	Rules      []Rule
	Seed       uint64 // 0: drawn anew
}

// Classifier classes statements and remembers their shapes. Any number of goroutines may use it at once.
type Classifier struct {
	lists   *NameLists
	rules   []Rule
	costs   *costs
	seed    uint64
	longest int // form that is kept
	kept    *otter.Cache[uint64, *NormalizedStatement]
	scratch sync.Pool

	hits, misses, collisions, tooLong atomic.Uint64
}

// MinCacheBytes is the smallest cache that serves.
const MinCacheBytes = 64 << 10

// entryBytes is what an entry takes beside its form and names: the shape, the cache's node and its place in the map.
const entryBytes = int(unsafe.Sizeof(NormalizedStatement{})) + 160

// New makes a Classing.
//
// The cache is otter's: of those weighed (docs/classing.md) the one that is bounded in bytes, keeps known shapes
// through a flood of shapes seen once (W-TinyLFU), and looks up without a lock or an allocation.
func New(o Options) *Classifier {
	c := &Classifier{lists: o.Lists, rules: o.Rules, costs: newCosts(), seed: o.Seed,
		longest: int(min(max(o.CacheBytes, MinCacheBytes)/64, 64<<10))}
	if c.lists == nil {
		c.lists = NewNameLists(nil, nil, nil)
	}
	if c.seed == 0 {
		var b [8]byte
		rand.Read(b[:])
		c.seed = binary.LittleEndian.Uint64(b[:])
	}
	c.kept = otter.Must(&otter.Options[uint64, *NormalizedStatement]{
		MaximumWeight: uint64(max(o.CacheBytes, MinCacheBytes)),
		Weigher:       func(_ uint64, s *NormalizedStatement) uint32 { return uint32(s.weight()) },
		Executor:      func(f func()) { f() }, // its upkeep runs with who caused it: a flood pays for itself
	})
	c.scratch.New = func() any { return &scratch{} }
	return c
}

func (s *NormalizedStatement) weight() int {
	n := entryBytes + cap(s.form) + len(s.Reason)
	for _, t := range s.Tables {
		n += len(t) + 16
	}
	return n
}

type scratch struct {
	scan    Scanner
	classer classer
	form    []byte
	digest  xxhash.Digest
}

const scratchKept = 16 << 10 // bytes of a form's buffer that are kept for the next text

// Classify finds the shape of a text. A fault is a text that no server would take: nothing of it may be sent.
// Texts of one form share a Shape while the cache holds it.
func (c *Classifier) Classify(text []byte) (*NormalizedStatement, Details, *SyntaxError) {
	w := c.scratch.Get().(*scratch)
	s, f, fault := c.take(w, text)
	if cap(w.form) > scratchKept {
		w.form = nil
	}
	w.scan.text, w.classer.text, w.classer.scan.text, w.classer.v = nil, nil, nil, Classification{}
	c.scratch.Put(w)
	return s, f, fault
}

func (c *Classifier) take(w *scratch, text []byte) (*NormalizedStatement, Details, *SyntaxError) {
	if fault := checkEncoding(text); fault != nil {
		return nil, Details{}, fault
	}
	form, facts, fault := w.scan.Normalize(w.form[:0], text)
	w.form = form
	if fault != nil {
		kept := *fault
		return nil, facts, &kept
	}
	w.digest.ResetWithSeed(c.seed)
	w.digest.Write(form)
	key := w.digest.Sum64()
	s, ok := c.kept.GetIfPresent(key)
	if ok && bytes.Equal(s.form, form) { // equal checksums prove nothing: a client may have made them so
		c.hits.Add(1)
		return s, facts, nil
	}
	c.misses.Add(1)
	fresh := &NormalizedStatement{Classification: w.classer.classify(text, c.lists), form: bytes.Clone(form)}
	for i := range c.rules {
		if c.rules[i].fits(&fresh.Classification) {
			fresh.fits |= 1 << i
		}
	}
	switch {
	case ok: // the one that was first stays, so that nobody can push it out
		c.collisions.Add(1)
	case len(form) > c.longest:
		c.tooLong.Add(1)
	default:
		if _, first := c.kept.SetIfAbsent(key, fresh); !first {
			if s, ok := c.kept.GetIfPresent(key); ok && bytes.Equal(s.form, form) {
				fresh = s // another was quicker
			}
		}
	}
	return fresh, facts, nil
}

// Explain classes a text without the cache, so that the place of its reason is one in this text.
func (c *Classifier) Explain(text []byte) Classification {
	w := c.scratch.Get().(*scratch)
	defer c.scratch.Put(w)
	return w.classer.classify(text, c.lists)
}

// MatchRule finds the first rule that a text of the shape fits, or -1.
func (c *Classifier) MatchRule(s *NormalizedStatement, estimate time.Duration) int {
	for i := range c.rules {
		r := &c.rules[i]
		if s.fits&(1<<i) != 0 && estimate >= r.Above && (r.Below == 0 || estimate < r.Below) {
			return i
		}
	}
	return -1
}

// Rules are those that it was made with.
func (c *Classifier) Rules() []Rule { return c.rules }

// Stats are counts since the start, and what the cache holds.
type Stats struct {
	Hits, Misses, Collisions, TooLong, Entries, Bytes uint64
}

// Stats counts.
func (c *Classifier) Stats() Stats {
	return Stats{Hits: c.hits.Load(), Misses: c.misses.Load(), Collisions: c.collisions.Load(),
		TooLong: c.tooLong.Load(), Entries: uint64(c.kept.EstimatedSize()), Bytes: c.kept.WeightedSize()}
}
