package audit

import (
	"cmp"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Part is the part of a front that Posts of audits are for.
const Part = "audit"

// FetchRequest is a gatherer's to a front: which closed segments it has behind one, or a piece of a file.
type FetchRequest struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	After  string // of a list: names behind this one
	Name   string // of a piece; "" asks for the list
	Index  bool   // of the index; else of the lines
	Offset int64
}

// FetchResponse is a front's.
type FetchResponse struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Request FetchRequest
	Names   []string
	Total   int64
	Data    []byte
	Removed bool // the segment is not there any more
}

// What may be asked at once.
const (
	ChunkBytes = 32 << 10
	mostNames  = 64
	mostFile   = 64 << 20
)

// Encode writes a question, or a reply, for a Post.
func (q FetchRequest) Encode() []byte  { return pack(&q, 'q') }
func (r FetchResponse) Encode() []byte { return pack(&r, 'r') }

func pack(x any, kind byte) []byte {
	b, err := msgpack.Marshal(x)
	if err != nil {
		panic("a word about audits that can't be written: " + err.Error()) // of our own making
	}
	return append([]byte{kind}, b...)
}

// DecodeDatagram takes a Post's data apart: a question or a reply, or neither.
func DecodeDatagram(data []byte) (q *FetchRequest, r *FetchResponse) {
	if len(data) < 2 {
		return nil, nil
	}
	switch data[0] {
	case 'q':
		var x FetchRequest
		if msgpack.Unmarshal(data[1:], &x) == nil && len(x.Name) < 200 && len(x.After) < 200 && x.Offset >= 0 {
			return &x, nil
		}
	case 'r':
		var x FetchResponse
		if msgpack.Unmarshal(data[1:], &x) == nil && len(x.Names) <= mostNames && len(x.Data) <= ChunkBytes && x.Total >= 0 {
			return nil, &x
		}
	}
	return nil, nil
}

// SegmentsAfter are the names that a reply to a list's question has, of all that are closed, oldest first.
func SegmentsAfter(sealed []string, behind string) []string {
	i, _ := slices.BinarySearch(sealed, behind)
	for i < len(sealed) && sealed[i] <= behind {
		i++
	}
	return sealed[i:min(i+mostNames, len(sealed))]
}

// Collector brings all fronts' closed segments together: one question at a time to each front, within a budget of bytes a
// second over all. What it has, it keeps whole or not at all. It is a core: no I/O, no clock.
type Collector struct {
	rate             float64
	span             time.Duration // after which an unanswered question is asked again
	allowed          float64
	at               time.Duration
	fronts           map[string]*gathered
	turn             int
	BytesReceived    int64 // that came
	SegmentsReceived int
}

type gathered struct {
	last   string // the newest segment that is kept whole
	wanted []string
	asked  *FetchRequest
	askAt  time.Duration
	idle   time.Duration // when to look for more
	parts  [2][]byte     // of the segment in hand: its index, its lines
	part   int
}

// NewCollector makes one; have are the names of segments that were gathered before, by front's latest.
func NewCollector(rate int64, span time.Duration, have []string) *Collector {
	g := &Collector{rate: float64(rate), span: span, fronts: map[string]*gathered{}}
	for _, name := range have {
		if front, _, ok := ParseLogName(name + LogSuffix); ok {
			f := g.front(front)
			f.last = max(f.last, name)
		}
	}
	return g
}

func (g *Collector) front(name string) *gathered {
	f := g.fronts[name]
	if f == nil {
		f = &gathered{}
		g.fronts[name] = f
	}
	return f
}

// PendingFetch is a question for a front.
type PendingFetch struct {
	Front   string
	Request FetchRequest
}

// Step says what to ask now of the fronts that there are.
func (g *Collector) Step(now time.Duration, fronts []string) (asks []PendingFetch) {
	g.allowed = min(g.allowed+g.rate*(now-g.at).Seconds(), max(g.rate, ChunkBytes))
	g.at = now
	slices.Sort(fronts)
	for k := range fronts {
		name := fronts[(k+g.turn)%len(fronts)]
		f := g.front(name)
		if f.asked != nil && now-f.askAt < g.span || f.asked == nil && len(f.wanted) == 0 && now < f.idle {
			continue
		}
		q := FetchRequest{After: f.last}
		if len(f.wanted) > 0 {
			if g.allowed < ChunkBytes {
				continue
			}
			g.allowed -= ChunkBytes
			q = FetchRequest{Name: f.wanted[0], Index: f.part == 0, Offset: int64(len(f.parts[f.part]))}
		}
		f.asked, f.askAt = &q, now
		asks = append(asks, PendingFetch{name, q})
	}
	g.turn++
	return asks
}

// File is one that came whole.
type File struct {
	Name string // with its ending
	Data []byte
}

// OnResponse takes a reply, and gives the two files of a segment that is whole by it. One that was not asked for, or comes twice,
// changes nothing.
func (g *Collector) OnResponse(now time.Duration, front string, r *FetchResponse) (whole []File) {
	f := g.fronts[front]
	if f == nil || f.asked == nil || *f.asked != r.Request {
		return nil
	}
	f.asked = nil
	g.BytesReceived += int64(len(r.Data))
	if r.Request.Name == "" {
		f.idle = now + 2*g.span
		for _, name := range r.Names {
			if of, _, ok := ParseLogName(name + LogSuffix); ok && of == front && name > cmp.Or(last(f.wanted), f.last) {
				f.wanted = append(f.wanted, name)
			}
		}
		return nil
	}
	g.allowed += ChunkBytes - float64(len(r.Data))
	if r.Removed || r.Total > mostFile {
		f.wanted, f.part, f.parts = f.wanted[1:], 0, [2][]byte{}
		return nil
	}
	p := &f.parts[f.part]
	*p = append(*p, r.Data...)
	if int64(len(*p)) < r.Total && len(r.Data) > 0 {
		return nil
	}
	if int64(len(*p)) != r.Total { // the file is another than before: from its beginning
		*p = nil
		return nil
	}
	if f.part++; f.part < 2 {
		return nil
	}
	name := f.wanted[0]
	whole = []File{{name + IndexSuffix, f.parts[0]}, {name + LogSuffix, f.parts[1]}}
	f.last, f.wanted, f.part, f.parts = name, f.wanted[1:], 0, [2][]byte{}
	g.SegmentsReceived++
	return whole
}

func last(all []string) string {
	if len(all) == 0 {
		return ""
	}
	return all[len(all)-1]
}
