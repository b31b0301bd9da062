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

// heartbeat is the service's own. A change counts as told three heartbeats after the service had it and could be reached, and two
// after a new configuration, whatever failed meanwhile. So a watch ends after a heartbeat that was missed and three quarters; a
// call that does not begin its answer within half a heartbeat, or whose answer pauses as long, is given up; and between two
// calls lies a quarter at most. docs/endings.md adds up the worst cases.
const (
	heartbeat = 2 * time.Second
	silentBy  = 7 // quarters of a heartbeat
)

// longest is the longest object that is read.
const longest = 4 << 20

var (
	errSilent     = errors.New("discovery is silent")
	errUnanswered = errors.New("discovery does not answer")
)

// Client speaks to the list's service. It holds two connections at most.
type Client struct {
	address    string
	base       string
	http       *http.Client
	heartbeat  time.Duration
	index      atomic.Int64 // version last heard
	gap        atomic.Bool  // something may have been missed that the next change would pass over: the whole list comes first
	OnResponse func()       // called for each word of the service, be it that nothing changed; nil for nobody
}

// NewClient makes a client of the service at an address, which knows the list up to a version.
func NewClient(address string, index int64) *Client {
	c := &Client{address: address, base: "http://" + address + "/v1/endpoints", heartbeat: heartbeat}
	c.index.Store(index)
	c.http = &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: heartbeat, KeepAlive: -1}).DialContext,
		MaxIdleConnsPerHost: 1, MaxConnsPerHost: 2, DisableCompression: true,
		ReadBufferSize: 4096, WriteBufferSize: 1024,
	}}
	return c
}

// WithAddress makes a client of the service at another address, which knows what this one does, and asks for the whole list first.
func (c *Client) WithAddress(address string) *Client {
	m := NewClient(address, c.index.Load())
	m.heartbeat, m.OnResponse = c.heartbeat, c.OnResponse
	m.gap.Store(true)
	return m
}

// Address is where the service is.
func (c *Client) Address() string { return c.address }

// Index is the version last heard.
func (c *Client) Index() int64 { return c.index.Load() }

// AdvanceIndex notes that a version was heard by another way.
func (c *Client) AdvanceIndex(index int64) { c.index.Store(max(index, c.index.Load())) }

func (c *Client) heard() {
	if c.OnResponse != nil {
		c.OnResponse()
	}
}

// CloseIdleConnections closes the connections that nobody uses.
func (c *Client) CloseIdleConnections() { c.http.CloseIdleConnections() }

// FetchSnapshot asks for the whole list. One that a watch overtook while it came would take back what that told: it is asked for again.
func (c *Client) FetchSnapshot(ctx context.Context) (List, error) {
	for {
		before := c.index.Load()
		l, err := c.whole(ctx)
		if err != nil {
			return List{}, err
		}
		if now := c.index.Load(); now != before && l.Index < now {
			continue
		}
		c.index.Store(l.Index)
		c.gap.Store(false)
		c.heard()
		return l, nil
	}
}

func (c *Client) whole(ctx context.Context) (l List, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := c.answerTimeout(cancel)
	defer silence.Stop()
	body, err := c.get(ctx, "")
	if err != nil {
		return l, why(ctx, err)
	}
	defer body.Close()
	late := time.AfterFunc(c.heartbeat*2, func() { cancel(errSilent) })
	defer late.Stop()
	data, err := io.ReadAll(&progress{from: io.LimitReader(body, longest), pause: silence, most: c.heartbeat / 2})
	if err != nil {
		return l, why(ctx, err)
	}
	l, faults, err := Decode(data)
	c.logFaults(faults)
	return l, err
}

// Watch hands on what changes after the version last heard, until the watch ends; it always ends in an error. Behind a line
// that cannot be used, in whole or in part, and behind an index that goes back, nothing more is taken: the next change would
// pass over what was lost. The whole list comes first then when the watch is opened again.
func (c *Client) Watch(ctx context.Context, each func(List)) error {
	if c.gap.Load() {
		l, err := c.FetchSnapshot(ctx)
		if err != nil {
			return fmt.Errorf("the whole list did not come: %w", err)
		}
		each(l)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := c.answerTimeout(cancel)
	defer silence.Stop()
	body, err := c.get(ctx, "?watch=1&after="+strconv.FormatInt(c.index.Load(), 10))
	if err != nil {
		return why(ctx, err)
	}
	defer body.Close()
	silence.Stop()
	silence = time.AfterFunc(c.heartbeat*silentBy/4, func() { cancel(errSilent) })
	defer silence.Stop()
	lines := bufio.NewReader(body)
	for {
		line, err := readLine(lines)
		if err != nil {
			return why(ctx, err)
		}
		silence.Reset(c.heartbeat * silentBy / 4)
		c.heard()
		if line = bytes.TrimSpace(line); len(line) == 0 {
			continue
		}
		l, faults, err := Decode(line)
		c.logFaults(faults)
		if err == nil && !l.Snapshot && l.Index < c.index.Load() {
			err = fmt.Errorf("index %d comes after %d", l.Index, c.index.Load())
		}
		if err != nil {
			c.gap.Store(true)
			return fmt.Errorf("a line that cannot be used: %w", err)
		}
		c.index.Store(l.Index)
		each(l)
		if len(faults) > 0 && !l.Snapshot {
			c.gap.Store(true)
			return fmt.Errorf("a change with %d entries that cannot be used", len(faults))
		}
	}
}

// progress reads an answer and sets the timer that ends its call anew with each part, so that a pause ends it.
type progress struct {
	from  io.Reader
	pause *time.Timer
	most  time.Duration
}

// Read reads the next part of the answer.
func (p *progress) Read(b []byte) (int, error) {
	p.pause.Reset(p.most)
	return p.from.Read(b)
}

// answerTimeout ends a call that the service does not begin to answer.
func (c *Client) answerTimeout(cancel context.CancelCauseFunc) *time.Timer {
	return time.AfterFunc(c.heartbeat/2, func() { cancel(errUnanswered) })
}

// Follow keeps a watch open until ctx ends, after the whole list. Each end is told by failed; the watch is opened again
// after a pause, the longer the more ended young, spread by what spread gives between 0 and 1.
func (c *Client) Follow(ctx context.Context, each func(List), failed func(), spread func() float64) {
	c.gap.Store(true)
	for young := 0; ctx.Err() == nil; young++ {
		opened := time.Now()
		err := c.Watch(ctx, each)
		if ctx.Err() != nil {
			return
		}
		lived := time.Since(opened)
		if lived > c.heartbeat {
			young = 0
		}
		slog.Warn("discovery: the watch ended", "why", err, "after", lived.Round(time.Millisecond))
		failed()
		pause := min(c.heartbeat/4, c.heartbeat/10<<min(young, 8))
		select {
		case <-time.After(time.Duration(float64(pause) * (1 + spread()) / 2)):
		case <-ctx.Done():
		}
	}
}

func (c *Client) get(ctx context.Context, query string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+query, nil)
	if err != nil {
		return nil, err
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		res.Body.Close()
		return nil, fmt.Errorf("discovery answered %s", res.Status)
	}
	return res.Body, nil
}

func (c *Client) logFaults(faults []error) {
	for _, f := range faults {
		slog.Warn("discovery: an entry is passed over", "why", f)
	}
}

// readLine reads a line of at most longest bytes; one that is cut off is none.
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
		if err != bufio.ErrBufferFull {
			return nil, err
		}
		if len(long) > longest {
			return nil, fmt.Errorf("a line of over %d bytes", longest)
		}
	}
}

func why(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
