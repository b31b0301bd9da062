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
	ErrUnknownEvent = errors.New("unknown event")
	ErrMissingField = errors.New("is missing")
	ErrInvalidField = errors.New("is invalid")
	ErrMalformed    = errors.New("malformed line")
	ErrTruncated    = errors.New("truncated line")
)

// Error reports a line that cannot be read.
type Error struct {
	Line    int
	Event   string // the name of the event, if known
	Field   string // the name of the field, if a field is the cause
	Problem string
	Cause   error // one of the sentinel errors above, or an error of the underlying reader
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
	line   int         // number of the current line, from 1
	long   []byte      // buffer for a line that is longer than the buffer of in
	name   []byte      // name of the current line
	fields [][2][]byte // names and values of the fields of the current line
	err    error       // first error of the current line
}

const readBuffer = 1 << 20 // bytes

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, readBuffer)} }

// Next reads the next event into e. It returns io.EOF if the input ends at the end of a line, and an *Error for a line that cannot be read.
// Other errors are those of the underlying reader.
func (r *Reader) Next(e *Event) error {
	if err := r.readLine(); err != nil {
		return err
	}
	kind, ok := eventKinds[string(r.name)]
	if !ok {
		return &Error{Line: r.line, Problem: fmt.Sprintf("unknown event %q", r.name), Cause: ErrUnknownEvent}
	}
	e.Kind = kind
	switch kind {
	case BatchStart:
		e.Batch.Clock, e.Batch.ID = r.requiredInteger("Clock"), r.required("batch")
	case BatchEnd:
	case EndpointPage:
		r.page(&e.Page)
	default:
		e.Instance = r.instance()
		r.event(e)
	}
	return r.err
}

// event reads the fields of an event that is addressed to an instance.
func (r *Reader) event(e *Event) {
	switch e.Kind {
	case InstanceStarted:
		r.instanceStart(&e.Start)
	case EndpointsChanged:
		e.Update = EndpointUpdate{Kind: parseKeyword(r, "Kind", r.required("Kind"), updateKinds), Page: -1, Version: e.Update.Version}
		if e.Update.Kind != routing.UpdateFailed {
			e.Update.Page, e.Update.Version = int(r.requiredInteger("Page")), r.requiredInteger("Epoch")
		}
	case RequestReceived:
		r.request(&e.Request)
	case AttemptConnected:
		e.Request.ID, e.Attempt.Server = r.required("Rid"), r.requiredInteger("Store")
		e.Attempt.Outcome = routing.AttemptOutcome{AttemptNumber: int(r.requiredInteger("Hop")), Latency: r.requiredDuration("Latency")}
	case AttemptFinished:
		e.Request.ID = r.required("Rid")
		r.attempt(&e.Attempt)
	case ClientGone:
		e.Request.ID = r.required("Rid")
	case TimerFired:
		e.Timer = r.required("Token")
	case HealthCheckFinished:
		e.Attempt.Server = r.requiredInteger("Store")
		e.Attempt.Outcome = routing.AttemptOutcome{Result: parseKeyword(r, "Ending", r.required("Ending"), attemptResults),
			Latency: time.Duration(r.optionalInteger("Latency"))}
		r.load(&e.Attempt)
	case GossipReceived:
		e.Gossip.Peer = int(r.requiredInteger("OriginPeer"))
		e.Gossip.Message = parseHex(r, "Contents", r.required("Contents"))
	case BatchStart, BatchEnd, InstanceCrashed, EndpointPage: // no further fields, or handled by Next
	}
}

// instanceStart reads the fields of InstanceStarted.
func (r *Reader) instanceStart(s *InstanceStart) {
	s.Seed = uint64(r.requiredInteger("Entropy"))
	settings, err := deployment.ReadSettings(func(path string) string { return string(r.value(path)) })
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

// request reads the fields of RequestReceived.
func (r *Reader) request(req *Request) {
	req.ID, req.Type, req.Customer, req.Session = r.required("Rid"), r.required("Qos"), r.value("Customer"), r.value("User")
	req.Group = r.requiredInteger("PartitionNo")
	req.Routing = routing.Request{Timeout: r.requiredDuration("Budget"), ExpectedWork: time.Duration(r.optionalInteger("Hint")),
		Retry: r.flag("IsRetry"), Write: r.flag("Write")}
	if v := r.value("TokenAgeMs"); v != nil {
		req.Routing.TokenAge = time.Duration(math.Ceil(r.parseNumber("TokenAgeMs", v) * float64(time.Millisecond)))
	}
}

// attempt reads the fields of AttemptFinished.
func (r *Reader) attempt(a *Attempt) {
	a.Server = r.requiredInteger("Store")
	a.Outcome = routing.AttemptOutcome{Result: parseKeyword(r, "Ending", r.required("Ending"), attemptResults),
		RequestFinished: r.flag("Closed"), AttemptNumber: int(r.requiredInteger("Hop")), Latency: time.Duration(r.optionalInteger("Latency"))}
	const roleBits = 2 // the lowest bits of a stamp encode the role, the others the log position
	stamp := r.optionalInteger("Stamp")
	a.PositionMillis, a.Outcome.Role = stamp>>roleBits, routing.Role(stamp&(1<<roleBits-1))
	if a.Outcome.Role > routing.Replica {
		r.fail("Stamp", "does not name a role", ErrInvalidField)
	}
	r.load(a)
}

// page reads the fields of EndpointPage and the entry lines that follow.
func (r *Reader) page(p *Page) {
	p.Number = int(r.requiredInteger("Page"))
	n := r.requiredInteger("Elements")
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
			r.err = &Error{Line: r.line, Problem: fmt.Sprintf("expected entry, got %q", r.name), Cause: ErrUnknownEvent}
			return
		}
		p.Entries = append(p.Entries, r.entry())
	}
}

// entry reads the fields of an entry line.
func (r *Reader) entry() Entry {
	e := Entry{Server: r.requiredInteger("Store"), Group: r.requiredInteger("Db"), Zone: string(r.required("RegionPart")),
		ServerType: string(r.required("Model")), State: parseKeyword(r, "State", r.required("State"), serverStates), Weight: 1,
		StartedAt: r.optionalInteger("Born")}
	if v := r.value("Nominal"); v != nil {
		e.Weight = r.parseNumber("Nominal", v)
	}
	if v := r.value("Primary"); v != nil {
		e.Primary = r.parseNumber("Primary", v) == 1
	}
	return e
}

// load reads a load report, which consists of name:value pairs separated by commas.
func (r *Reader) load(a *Attempt) {
	l := deployment.EmptyLoad
	rest := r.value("Pressure")
	for len(rest) > 0 {
		var part []byte
		part, rest, _ = bytes.Cut(rest, []byte(","))
		name, value, ok := bytes.Cut(part, []byte(":"))
		if !ok {
			r.fail("Pressure", fmt.Sprintf("has no value in %q", part), ErrInvalidField)
			return
		}
		v := r.parseNumber("Pressure", value)
		if string(name) == "x0" {
			a.LoadPosition = v
		}
		deployment.SetLoadField(&l, string(name), v, 0)
	}
	a.Load = l
}

// readLine reads the next line and splits it into its name and fields. It returns io.EOF if the input ends at the end of a line.
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
			return &Error{Line: r.line, Problem: "truncated line", Cause: ErrTruncated}
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

// noEOF converts io.EOF to io.ErrUnexpectedEOF.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// The bench's keywords.
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
