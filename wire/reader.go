package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"dapplerouter/deployment"
	"dapplerouter/routing"
)

// Causes of an Error, for errors.Is.
var (
	ErrUnknownEvent = errors.New("unknown message")
	ErrMissingField = errors.New("is missing")
	ErrInvalidField = errors.New("is invalid")
	ErrMalformed    = errors.New("malformed line")
	ErrTruncated    = errors.New("cut off")
)

// Error is a line that can't be read.
type Error struct {
	Line    int
	Event   string // name of the message, where it is known
	Field   string // where a field is the cause
	Problem string
	Cause   error // one of the sentinels above, or an error of the underlying reader
}

func (e *Error) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("line %d: %s: field %s %s", e.Line, e.Event, e.Field, e.Problem)
	}
	return fmt.Sprintf("line %d: %s", e.Line, e.Problem)
}

func (e *Error) Unwrap() error { return e.Cause }

// Reader reads events.
type Reader struct {
	in     *bufio.Reader
	line   int
	long   []byte      // a line that is longer than the buffer of in
	name   []byte      // of the present line
	fields [][2][]byte // of the present line: name and value
	err    error       // the first of the present line
}

const readBuffer = 1 << 20

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, readBuffer)} }

// Next reads one event into e. It returns io.EOF at the end of the input, between lines, and an *Error for a line that can't
// be read; other errors are those of the underlying reader.
func (r *Reader) Next(e *Event) error {
	if err := r.readLine(); err != nil {
		return err
	}
	kind, ok := eventKinds[string(r.name)]
	if !ok {
		return &Error{Line: r.line, Problem: fmt.Sprintf("unknown message %q", r.name), Cause: ErrUnknownEvent}
	}
	e.Kind = kind
	switch kind {
	case BatchStart:
		e.Batch.Clock, e.Batch.ID = r.integer("Clock"), r.required("batch")
	case BatchEnd:
	case EndpointPage:
		r.page(&e.Page)
	default:
		e.Instance = r.instance()
		r.event(e)
	}
	return r.err
}

// event reads the fields of an event of an instance.
func (r *Reader) event(e *Event) {
	switch e.Kind {
	case InstanceStarted:
		r.instanceStart(&e.Start)
	case EndpointsChanged:
		e.Update = EndpointUpdate{Kind: choice(r, "Kind", r.required("Kind"), updateKinds), Page: -1, Version: e.Update.Version}
		if e.Update.Kind != routing.UpdateFailed {
			e.Update.Page, e.Update.Version = int(r.integer("Page")), r.integer("Epoch")
		}
	case RequestReceived:
		r.request(&e.Request)
	case AttemptConnected:
		e.Request.ID, e.Attempt.Server = r.required("Rid"), r.integer("Store")
		e.Attempt.Outcome = routing.AttemptOutcome{AttemptNumber: int(r.integer("Hop")), Latency: r.duration("Latency")}
	case AttemptFinished:
		e.Request.ID = r.required("Rid")
		r.attempt(&e.Attempt)
	case ClientGone:
		e.Request.ID = r.required("Rid")
	case TimerFired:
		e.Timer = r.required("Token")
	case HealthCheckFinished:
		e.Attempt.Server = r.integer("Store")
		e.Attempt.Outcome = routing.AttemptOutcome{Result: choice(r, "Ending", r.required("Ending"), attemptResults),
			Latency: time.Duration(r.optional("Latency"))}
		r.load(&e.Attempt)
	case GossipReceived:
		e.Gossip.Peer = int(r.integer("OriginPeer"))
		e.Gossip.Message = unhex(r, "Contents", r.required("Contents"))
	case BatchStart, BatchEnd, InstanceCrashed, EndpointPage: // without further fields, or read by Next
	}
}

func (r *Reader) instanceStart(s *InstanceStart) {
	s.Seed = uint64(r.integer("Entropy"))
	settings, err := deployment.ReadSettings(func(path string) string { return string(r.get(path)) })
	s.Settings = settings
	if err == nil {
		return
	}
	var key *deployment.KeyError
	if errors.As(err, &key) {
		r.fail(key.Key, key.Problem, ErrInvalidField)
	} else if r.err == nil {
		r.err = &Error{Line: r.line, Problem: err.Error(), Cause: err}
	}
}

func (r *Reader) request(req *Request) {
	req.ID, req.Type, req.Customer, req.Session = r.required("Rid"), r.required("Qos"), r.get("Customer"), r.get("User")
	req.Group = r.integer("PartitionNo")
	req.Routing = routing.Request{Timeout: r.duration("Budget"), ExpectedWork: time.Duration(r.optional("Hint")),
		Retry: r.flag("IsRetry"), Write: r.flag("Write")}
	if v := r.get("TokenAgeMs"); v != nil {
		req.Routing.TokenAge = time.Duration(math.Ceil(r.number("TokenAgeMs", v) * float64(time.Millisecond)))
	}
}

func (r *Reader) attempt(a *Attempt) {
	a.Server = r.integer("Store")
	a.Outcome = routing.AttemptOutcome{Result: choice(r, "Ending", r.required("Ending"), attemptResults), RequestFinished: r.flag("Closed"),
		AttemptNumber: int(r.integer("Hop")), Latency: time.Duration(r.optional("Latency"))}
	const roleBits = 2 // of a stamp: the lowest ones; the others are the position
	stamp := r.optional("Stamp")
	a.PositionMillis, a.Outcome.Role = stamp>>roleBits, routing.Role(stamp&(1<<roleBits-1))
	if a.Outcome.Role > routing.Replica {
		r.fail("Stamp", "names no role", ErrInvalidField)
	}
	r.load(a)
}

func (r *Reader) page(p *Page) {
	p.Number = int(r.integer("Page"))
	n := r.integer("Elements")
	if p.Number < 0 || p.Number > MaxPage {
		r.fail("Page", "is not within 0 to 15", ErrInvalidField)
	}
	p.Entries = p.Entries[:0]
	for ; n > 0 && r.err == nil; n-- {
		if err := r.readLine(); err != nil {
			err = noEOF(err)
			r.err = &Error{Line: r.line, Problem: "catalog ends early: " + err.Error(), Cause: err}
			return
		}
		if string(r.name) != "entry" {
			r.err = &Error{Line: r.line, Problem: fmt.Sprintf("want entry, have %q", r.name), Cause: ErrUnknownEvent}
			return
		}
		p.Entries = append(p.Entries, r.entry())
	}
}

func (r *Reader) entry() Entry {
	e := Entry{Server: r.integer("Store"), Group: r.integer("Db"), Zone: string(r.required("RegionPart")),
		ServerType: string(r.required("Model")), State: choice(r, "State", r.required("State"), serverStates), Weight: 1,
		StartedAt: r.optional("Born")}
	if v := r.get("Nominal"); v != nil {
		e.Weight = r.number("Nominal", v)
	}
	if v := r.get("Primary"); v != nil {
		e.Primary = r.number("Primary", v) == 1
	}
	return e
}

// load reads a load report: name:value pairs with commas between.
func (r *Reader) load(a *Attempt) {
	l := deployment.EmptyLoad
	rest := r.get("Pressure")
	for len(rest) > 0 {
		var part []byte
		part, rest, _ = bytes.Cut(rest, []byte(","))
		name, value, ok := bytes.Cut(part, []byte(":"))
		if !ok {
			r.fail("Pressure", fmt.Sprintf("has no value in %q", part), ErrInvalidField)
			return
		}
		v := r.number("Pressure", value)
		if string(name) == "x0" {
			a.LoadPosition = v
		}
		deployment.SetLoadField(&l, string(name), v, 0)
	}
	a.Load = l
}

// readLine splits the next line into its name and fields. It returns io.EOF between lines.
func (r *Reader) readLine() error {
	r.line++
	line, err := r.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		r.long = append(r.long[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = r.in.ReadSlice('\n')
			r.long = append(r.long, line...)
		}
		line = r.long
	}
	if err != nil {
		if errors.Is(err, io.EOF) && len(line) > 0 {
			return &Error{Line: r.line, Problem: "cut off", Cause: ErrTruncated}
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
			return &Error{Line: r.line, Problem: fmt.Sprintf("part %q has no value", part), Cause: ErrMalformed}
		}
		r.fields = append(r.fields, [2][]byte{part[:i], part[i+1:]})
	}
	return nil
}

func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

var updateKinds = map[string]routing.UpdateKind{
	"delta": routing.Delta, "full": routing.Snapshot, "cached": routing.CachedSnapshot, "failed": routing.UpdateFailed,
}

var serverStates = map[string]routing.ServerState{
	"SERVING": routing.Serving, "DRAINING": routing.Draining, "DELETED": routing.Removed,
}

var attemptResults = map[string]routing.AttemptResult{
	"success": routing.Succeeded, "failure": routing.ServerError, "overloaded": routing.Overloaded, "timed_out": routing.TimedOut,
	"unreachable": routing.Unreachable, "broken": routing.ConnectionLost, "withdrawn": routing.Cancelled, "void": routing.NotSent,
	"absent": routing.Misrouted,
}
