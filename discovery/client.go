package discovery

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// The service sends a heartbeat on a watch at this interval. A change counts as notified three heartbeats after the service had it
// and could be reached, and two after a new configuration, whatever failed meanwhile. So a watch ends after a silence of a heartbeat
// and three quarters; a call that does not begin its answer within half a heartbeat, or whose answer pauses as long, is given up; and
// between two calls lies a quarter at most. docs/endings.md adds up the worst cases.
const (
	heartbeat       = 2 * time.Second
	silenceQuarters = 7 // quarters of a heartbeat
)

// maxObject is the length of the longest object that is read, in bytes.
const maxObject = 4 << 20

// Why a call or a watch ended.
var (
	ErrSilent     = errors.New("discovery service: no heartbeat")
	ErrNoAnswer   = errors.New("discovery service: no answer in time")
	ErrStatus     = errors.New("discovery service: unexpected status")
	ErrIndexBack  = errors.New("discovery service: index goes back")
	ErrBadChange  = errors.New("discovery service: change with unusable endpoints")
	ErrLineLength = errors.New("discovery service: line too long")
)

// Client reads the endpoint list from the discovery service. It holds two connections at most. Its methods may be called
// concurrently.
type Client struct {
	// OnResponse is called for each answer of the service, also where nothing has changed; nil for nobody. It is set before the first
	// call.
	OnResponse func()

	address   string
	url       string
	http      *http.Client
	heartbeat time.Duration
	index     atomic.Int64 // version read last
	stale     atomic.Bool  // a change may have been missed, so that the next watch needs a snapshot first
}

// NewClient returns a client of the service at an address, which knows the list up to a version.
func NewClient(address string, index int64) *Client {
	c := &Client{address: address, url: "http://" + address + "/v1/endpoints", heartbeat: heartbeat}
	c.index.Store(index)
	c.http = &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: heartbeat, KeepAlive: -1}).DialContext,
		MaxIdleConnsPerHost: 1, MaxConnsPerHost: 2, DisableCompression: true,
		ReadBufferSize: 4096, WriteBufferSize: 1024,
	}}
	return c
}

// WithAddress returns a client of the service at another address, which knows what this one does, and reads a snapshot first.
func (c *Client) WithAddress(address string) *Client {
	moved := NewClient(address, c.index.Load())
	moved.heartbeat, moved.OnResponse = c.heartbeat, c.OnResponse
	moved.stale.Store(true)
	return moved
}

// Address returns where the service is.
func (c *Client) Address() string { return c.address }

// Index returns the version read last.
func (c *Client) Index() int64 { return c.index.Load() }

// AdvanceIndex notes that a version was read by another way.
func (c *Client) AdvanceIndex(index int64) { c.index.Store(max(index, c.index.Load())) }

// CloseIdleConnections closes the connections without a call.
func (c *Client) CloseIdleConnections() { c.http.CloseIdleConnections() }

// FetchSnapshot reads the list in full. A snapshot that a watch has overtaken meanwhile would take back what that brought: it is read
// again.
func (c *Client) FetchSnapshot(ctx context.Context) (List, error) {
	for {
		before := c.index.Load()
		l, err := c.fetch(ctx)
		if err != nil {
			return List{}, err
		}
		if now := c.index.Load(); now != before && l.Index < now {
			continue
		}
		c.index.Store(l.Index)
		c.stale.Store(false)
		c.responded()
		return l, nil
	}
}

// fetch makes one call for a snapshot.
func (c *Client) fetch(ctx context.Context) (l List, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	pause := c.answerTimeout(cancel)
	defer pause.Stop()
	body, err := c.get(ctx, "")
	if err != nil {
		return l, causeOf(ctx, err)
	}
	defer func() { _ = body.Close() }() // it was read to its end, or the call has failed
	late := time.AfterFunc(c.heartbeat*2, func() { cancel(ErrSilent) })
	defer late.Stop()
	data, err := io.ReadAll(&pauseReader{from: io.LimitReader(body, maxObject), timer: pause, timeout: c.heartbeat / 2})
	if err != nil {
		return l, causeOf(ctx, err)
	}
	l, skipped, err := Decode(data)
	logSkipped(skipped)
	return l, err
}

// Watch passes on what changes after the version read last, until the watch ends; it always ends in an error. Behind a line that
// cannot be used, in whole or in part, and behind an index that goes back, nothing more is taken: the next change would pass over
// what was lost. The next Watch begins with a snapshot then.
func (c *Client) Watch(ctx context.Context, each func(List)) error {
	if c.stale.Load() {
		l, err := c.FetchSnapshot(ctx)
		if err != nil {
			return fmt.Errorf("read snapshot: %w", err)
		}
		each(l)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	unanswered := c.answerTimeout(cancel)
	defer unanswered.Stop()
	body, err := c.get(ctx, "?watch=1&after="+strconv.FormatInt(c.index.Load(), 10))
	if err != nil {
		return causeOf(ctx, err)
	}
	defer func() { _ = body.Close() }() // the watch has failed
	unanswered.Stop()
	silence := time.AfterFunc(c.heartbeat*silenceQuarters/4, func() { cancel(ErrSilent) })
	defer silence.Stop()
	lines := bufio.NewReader(body)
	for {
		line, err := readLine(lines)
		if err != nil {
			return causeOf(ctx, err)
		}
		silence.Reset(c.heartbeat * silenceQuarters / 4)
		c.responded()
		if line = bytes.TrimSpace(line); len(line) == 0 {
			continue // a heartbeat
		}
		if err := c.takeLine(line, each); err != nil {
			c.stale.Store(true)
			return err
		}
	}
}

// takeLine passes on the list in a line of a watch. Of a change with unusable endpoints it passes on the rest.
func (c *Client) takeLine(line []byte, each func(List)) error {
	l, skipped, err := Decode(line)
	logSkipped(skipped)
	if err != nil {
		return fmt.Errorf("decode line: %w", err)
	}
	if !l.Snapshot && l.Index < c.index.Load() {
		return fmt.Errorf("%w: %d after %d", ErrIndexBack, l.Index, c.index.Load())
	}
	c.index.Store(l.Index)
	each(l)
	if len(skipped) > 0 && !l.Snapshot {
		return fmt.Errorf("%w: %d of them", ErrBadChange, len(skipped))
	}
	return nil
}

// Follow keeps a watch open until ctx ends, and begins with a snapshot. It calls failed for each watch that ended; the next one is
// opened after a backoff that grows with the number of watches that ended young, and is spread by jitter, which returns numbers
// between 0 and 1.
func (c *Client) Follow(ctx context.Context, each func(List), failed func(), jitter func() float64) {
	c.stale.Store(true)
	for young := 0; ctx.Err() == nil; young++ {
		opened := time.Now()
		err := c.Watch(ctx, each)
		if ctx.Err() != nil {
			return
		}
		age := time.Since(opened)
		if age > c.heartbeat {
			young = 0
		}
		slog.Warn("endpoint watch ended", "err", err, "age", age.Round(time.Millisecond))
		failed()
		backoff := min(c.heartbeat/4, c.heartbeat/10<<min(young, 8))
		select {
		case <-time.After(time.Duration(float64(backoff) * (1 + jitter()) / 2)):
		case <-ctx.Done():
		}
	}
}

// get makes a call and returns the body of its answer.
func (c *Client) get(ctx context.Context, query string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+query, nil)
	if err != nil {
		return nil, err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		_ = res.Body.Close() // the status is the error
		return nil, fmt.Errorf("%w: %s", ErrStatus, res.Status)
	}
	return res.Body, nil
}

// answerTimeout cancels a call whose answer does not begin in time.
func (c *Client) answerTimeout(cancel context.CancelCauseFunc) *time.Timer {
	return time.AfterFunc(c.heartbeat/2, func() { cancel(ErrNoAnswer) })
}

// responded reports an answer of the service.
func (c *Client) responded() {
	if c.OnResponse != nil {
		c.OnResponse()
	}
}

// pauseReader reads an answer and resets the timer that ends its call with each part, so that a pause ends it.
type pauseReader struct {
	from    io.Reader
	timer   *time.Timer
	timeout time.Duration
}

// Read implements io.Reader.
func (p *pauseReader) Read(b []byte) (int, error) {
	p.timer.Reset(p.timeout)
	return p.from.Read(b)
}

// readLine reads a line of at most maxObject bytes. A line that is cut off is an error.
func readLine(r *bufio.Reader) ([]byte, error) {
	var long []byte
	for {
		part, err := r.ReadSlice('\n')
		if err == nil && long == nil {
			return part, nil
		}
		long = append(long, part...)
		if err == nil {
			return long, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if len(long) > maxObject {
			return nil, fmt.Errorf("%w: over %d bytes", ErrLineLength, maxObject)
		}
	}
}

// logSkipped logs the endpoints that Decode has left out.
func logSkipped(skipped []error) {
	for _, err := range skipped {
		slog.Warn("endpoint skipped", "err", err)
	}
}

// causeOf returns why a call was cancelled, or else its error.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
