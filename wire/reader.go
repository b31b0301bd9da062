// Package wire reads and writes the bench's wire: lines of tab-separated name=value parts. Its words
// stay here; what leaves are types of package port and raw ids.
package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"time"

	"dapplerouter/deployment"
	"dapplerouter/routing"
)

// Kind tells the events apart.
type Kind uint8

const (
	Mark Kind = iota
	YourTurn
	Born
	CrashNow
	Catalog
	Targets
	Order
	Opened
	Resolved
	Aborted
	Alarm
	PingResult
	NeighbourSays
)

var kinds = map[string]Kind{
	"mark": Mark, "your_turn": YourTurn, "born": Born, "crash_now": CrashNow, "catalog": Catalog,
	"targets": Targets, "order": Order, "opened": Opened, "resolved": Resolved, "aborted": Aborted,
	"alarm": Alarm, "ping_result": PingResult, "neighbour_says": NeighbourSays,
}

// Entry is a catalog line, with the ids as they came.
type Entry struct {
	Store, Db   int64
	Zone, Model string
	Primary     bool
	State       routing.ServerState
	Weight      float64
	Born        int64
}

// Event is one line. Byte slices are valid until the next call of Next.
type Event struct {
	Kind                Kind
	Clock               int64
	Batch               []byte
	Front               int
	Rid                 []byte
	Qos, Customer, User []byte
	Group, Store        int64
	Request             routing.Request        // spans and flags only
	Outcome             routing.AttemptOutcome // all but ids, position and load
	Stamp               int64                  // role is in Outcome; this is the position in milliseconds
	Load                routing.LoadReport     // Position in X0, seconds
	X0                  float64
	Page                int
	Entries             []Entry
	ListKind            routing.UpdateKind
	Epoch               int64
	Token, Contents     []byte
	Peer                int
	Seed                uint64
	Site                *deployment.Settings
}

// Reader reads events.
type Reader struct {
	r      *bufio.Reader
	line   int
	long   []byte
	name   []byte
	fields [][2][]byte
	err    error
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, 1<<20)} }

// Next reads one event into e; io.EOF at the end of the input, between lines.
func (r *Reader) Next(e *Event) error {
	if err := r.read(); err != nil {
		return err
	}
	kind, ok := kinds[string(r.name)]
	if !ok {
		return fmt.Errorf("line %d: unknown message %q", r.line, r.name)
	}
	e.Kind = kind
	switch kind {
	case Mark:
		e.Clock, e.Batch = r.integer("Clock"), r.need("batch")
	case YourTurn:
	case Catalog:
		r.catalog(e)
	default:
		e.Front = r.front()
		r.event(e)
	}
	return r.err
}

func (r *Reader) event(e *Event) {
	switch e.Kind {
	case Born:
		e.Seed = uint64(r.integer("Entropy"))
		at, err := deployment.ReadSettings(func(path string) string { return string(r.get(path)) })
		if e.Site = at; err != nil {
			var f *deployment.KeyError
			errors.As(err, &f)
			r.fail(f.Key, f.Problem)
		}
	case Targets:
		e.ListKind = choice(r, "Kind", r.need("Kind"), listKinds)
		e.Page = -1
		if e.ListKind != routing.UpdateFailed {
			e.Page, e.Epoch = int(r.integer("Page")), r.integer("Epoch")
		}
	case Order:
		e.Rid, e.Qos, e.Customer, e.User = r.need("Rid"), r.need("Qos"), r.get("Customer"), r.get("User")
		e.Group = r.integer("PartitionNo")
		e.Request = routing.Request{Timeout: r.span("Budget"), ExpectedWork: time.Duration(r.optional("Hint")),
			Retry: r.flag("IsRetry"), Write: r.flag("Write")}
		if v := r.get("TokenAgeMs"); v != nil {
			e.Request.TokenAge = time.Duration(math.Ceil(r.number("TokenAgeMs", v) * float64(time.Millisecond)))
		}
	case Opened:
		e.Rid, e.Store = r.need("Rid"), r.integer("Store")
		e.Outcome = routing.AttemptOutcome{AttemptNumber: int(r.integer("Hop")), Latency: r.span("Latency")}
	case Resolved:
		e.Rid, e.Store = r.need("Rid"), r.integer("Store")
		e.Outcome = routing.AttemptOutcome{Result: choice(r, "Ending", r.need("Ending"), endings), RequestFinished: r.flag("Closed"),
			AttemptNumber: int(r.integer("Hop")), Latency: time.Duration(r.optional("Latency"))}
		stamp := r.optional("Stamp")
		e.Stamp, e.Outcome.Role = stamp>>2, routing.Role(stamp&3)
		if e.Outcome.Role > routing.Replica {
			r.fail("Stamp", "names no role")
		}
		r.load(e)
	case Aborted:
		e.Rid = r.need("Rid")
	case Alarm:
		e.Token = r.need("Token")
	case PingResult:
		e.Store = r.integer("Store")
		e.Outcome = routing.AttemptOutcome{Result: choice(r, "Ending", r.need("Ending"), endings),
			Latency: time.Duration(r.optional("Latency"))}
		r.load(e)
	case NeighbourSays:
		e.Peer = int(r.integer("OriginPeer"))
		e.Contents = unhex(r, r.need("Contents"))
	}
}

func (r *Reader) catalog(e *Event) {
	e.Page = int(r.integer("Page"))
	n := r.integer("Elements")
	if e.Page < 0 || e.Page > 15 {
		r.fail("Page", "is not within 0 to 15")
	}
	e.Entries = e.Entries[:0]
	for ; n > 0 && r.err == nil; n-- {
		if err := r.read(); err != nil {
			r.err = fmt.Errorf("line %d: catalog ends early: %w", r.line, noEOF(err))
			return
		}
		if string(r.name) != "entry" {
			r.err = fmt.Errorf("line %d: want entry, have %q", r.line, r.name)
			return
		}
		en := Entry{Store: r.integer("Store"), Db: r.integer("Db"), Zone: string(r.need("RegionPart")),
			Model: string(r.need("Model")), State: choice(r, "State", r.need("State"), states), Weight: 1,
			Born: r.optional("Born")}
		if v := r.get("Nominal"); v != nil {
			en.Weight = r.number("Nominal", v)
		}
		if v := r.get("Primary"); v != nil {
			en.Primary = r.number("Primary", v) == 1
		}
		e.Entries = append(e.Entries, en)
	}
}

func (r *Reader) load(e *Event) {
	l := deployment.EmptyLoad
	rest := r.get("Pressure")
	for len(rest) > 0 {
		var part []byte
		part, rest, _ = bytes.Cut(rest, []byte(","))
		name, value, ok := bytes.Cut(part, []byte(":"))
		if !ok {
			r.fail("Pressure", fmt.Sprintf("has no value in %q", part))
			return
		}
		v := r.number("Pressure", value)
		if string(name) == "x0" {
			e.X0 = v
		}
		deployment.SetLoadField(&l, string(name), v, 0)
	}
	e.Load = l
}

// read takes the next line apart.
func (r *Reader) read() error {
	r.line++
	line, err := r.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		r.long = append(r.long[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = r.r.ReadSlice('\n')
			r.long = append(r.long, line...)
		}
		line = r.long
	}
	if err != nil {
		if err == io.EOF && len(line) > 0 {
			return fmt.Errorf("line %d: cut off", r.line)
		}
		return err
	}
	line = bytes.TrimSuffix(line[:len(line)-1], []byte("\r"))
	name, rest, _ := bytes.Cut(line, []byte("\t"))
	r.name, r.fields, r.err = name, r.fields[:0], nil
	for len(rest) > 0 {
		part := rest
		if i := bytes.IndexByte(rest, '\t'); i >= 0 {
			part, rest = rest[:i], rest[i+1:]
		} else {
			rest = nil
		}
		i := bytes.IndexByte(part, '=')
		if i < 0 {
			return fmt.Errorf("line %d: part %q has no value", r.line, part)
		}
		r.fields = append(r.fields, [2][]byte{part[:i], part[i+1:]})
	}
	return nil
}

func (r *Reader) fail(field, what string) {
	if r.err == nil {
		r.err = fmt.Errorf("line %d: %s: field %s %s", r.line, r.name, field, what)
	}
}

func (r *Reader) get(field string) []byte {
	for i := range r.fields {
		if string(r.fields[i][0]) == field {
			return r.fields[i][1]
		}
	}
	return nil
}

func (r *Reader) need(field string) []byte {
	v := r.get(field)
	if len(v) == 0 {
		r.fail(field, "is missing")
	}
	return v
}

func (r *Reader) parse(field string, v []byte) int64 {
	neg := len(v) > 1 && v[0] == '-'
	digits := v
	if neg {
		digits = v[1:]
	}
	var n int64
	for _, c := range digits {
		if c < '0' || c > '9' || n > (math.MaxInt64-9)/10 {
			r.fail(field, fmt.Sprintf("is no integer: %q", v))
			return 0
		}
		n = n*10 + int64(c-'0')
	}
	if neg {
		n = -n
	}
	return n
}

func (r *Reader) integer(field string) int64 {
	v := r.need(field)
	if len(v) == 0 {
		return 0
	}
	return r.parse(field, v)
}

func (r *Reader) optional(field string) int64 {
	v := r.get(field)
	if len(v) == 0 {
		return 0
	}
	return r.parse(field, v)
}

func (r *Reader) span(field string) time.Duration { return time.Duration(r.integer(field)) }

func (r *Reader) number(field string, v []byte) float64 {
	f, err := strconv.ParseFloat(string(v), 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		r.fail(field, fmt.Sprintf("is no number: %q", v))
		return 0
	}
	return f
}

func (r *Reader) flag(field string) bool {
	v := r.get(field)
	switch {
	case len(v) == 0 || (len(v) == 1 && v[0] == '0'):
		return false
	case len(v) == 1 && v[0] == '1':
		return true
	}
	r.fail(field, fmt.Sprintf("is neither 0 nor 1: %q", v))
	return false
}

func (r *Reader) front() int {
	v := r.need("Front")
	n, ok := bytes.CutPrefix(v, []byte("front-"))
	if !ok || len(n) == 0 {
		r.fail("Front", fmt.Sprintf("is no instance: %q", v))
		return 0
	}
	return int(r.parse("Front", n))
}

func choice[T any](r *Reader, field string, v []byte, words map[string]T) T {
	t, ok := words[string(v)]
	if !ok {
		r.fail(field, fmt.Sprintf("has an unknown word: %q", v))
	}
	return t
}

func unhex(r *Reader, v []byte) []byte {
	if string(v) == "-" {
		return nil
	}
	out := make([]byte, len(v)/2)
	for i := range out {
		n, err := strconv.ParseUint(string(v[2*i:2*i+2]), 16, 8)
		if err != nil {
			r.fail("Contents", "is no hex")
			return nil
		}
		out[i] = byte(n)
	}
	if len(v)%2 != 0 {
		r.fail("Contents", "is no hex")
	}
	return out
}

func noEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

var listKinds = map[string]routing.UpdateKind{
	"delta": routing.Delta, "full": routing.Snapshot, "cached": routing.CachedSnapshot, "failed": routing.UpdateFailed,
}

var states = map[string]routing.ServerState{
	"SERVING": routing.Serving, "DRAINING": routing.Draining, "DELETED": routing.Removed,
}

var endings = map[string]routing.AttemptResult{
	"success": routing.Succeeded, "failure": routing.ServerError, "overloaded": routing.Overloaded, "timed_out": routing.TimedOut,
	"unreachable": routing.Unreachable, "broken": routing.ConnectionLost, "withdrawn": routing.Cancelled, "void": routing.NotSent,
	"absent": routing.Misrouted,
}
