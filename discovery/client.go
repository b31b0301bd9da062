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

// Timeouts of calls and watches, derived from the interval at which the service sends heartbeats on a watch. A change counts as
// notified three heartbeats after the service had it and was reachable, and two heartbeats after a new address was configured,
// whatever calls failed meanwhile; it must have arrived by then. Therefore a watch ends after 1.75 heartbeats of silence. A
// call is cancelled if its response does not begin within half a heartbeat, or stops for that long. The backoff between two
// calls is at most a quarter of a heartbeat. docs/endings.md adds up the worst cases.
const (
	heartbeat              = 2 * time.Second
	silenceTimeoutQuarters = 7 // in quarters of a heartbeat
)

// maxObjectBytes is the maximum length of a snapshot or of a line of a watch.
const maxObjectBytes = 4 << 20

// Reasons for which a call or a watch ends.
var (
	ErrHeartbeatTimeout  = errors.New("discovery service: no heartbeat in time")
	ErrResponseTimeout   = errors.New("discovery service: no response in time")
	ErrSnapshotStalled   = errors.New("discovery service: snapshot stalled")
	ErrSnapshotTooSlow   = errors.New("discovery service: snapshot took too long")
	ErrStatus            = errors.New("discovery service: unexpected status")
	ErrIndexDecreased    = errors.New("discovery service: index went backwards")
	ErrUnusableEndpoints = errors.New("discovery service: change with unusable endpoints")
	ErrLineTooLong       = errors.New("discovery service: line too long")
)

// Client reads the endpoint list from the discovery service. It opens at most two connections. Its methods are safe for
// concurrent use.
type Client struct {
	// OnResponse, if not nil, is called for each response of the service, including heartbeats. It must be set before the first
	// call.
	OnResponse func()

	address       string
	url           string
	http          *http.Client
	heartbeat     time.Duration
	index         atomic.Int64 // version of the list read last
	needsSnapshot atomic.Bool  // a change may have been missed: the next watch must begin with a snapshot
}

// NewClient returns a client of the service at an address. The client assumes that its caller has the list up to version index,
// so that a watch begins after that version.
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

// WithAddress returns a client of the service at another address. The new client takes over the index, and its first watch
// begins with a snapshot.
func (c *Client) WithAddress(address string) *Client {
	moved := NewClient(address, c.index.Load())
	moved.heartbeat, moved.OnResponse = c.heartbeat, c.OnResponse
	moved.needsSnapshot.Store(true)
	return moved
}

// Address returns the host and port of the service.
func (c *Client) Address() string { return c.address }

// Index returns the version of the list read last.
func (c *Client) Index() int64 { return c.index.Load() }

// AdvanceIndex records that the list was received up to a version by other means than this client. A lower index than the
// present one changes nothing.
func (c *Client) AdvanceIndex(index int64) { c.index.Store(max(index, c.index.Load())) }

// CloseIdleConnections closes the connections that no call is using.
func (c *Client) CloseIdleConnections() { c.http.CloseIdleConnections() }

// FetchSnapshot reads the complete endpoint list. If a concurrent watch has received a newer version meanwhile, the snapshot would undo
// those changes, so it is fetched again.
func (c *Client) FetchSnapshot(ctx context.Context) (List, error) {
	for {
		before := c.index.Load()
		l, err := c.fetchOnce(ctx)
		if err != nil {
			return List{}, err
		}
		if now := c.index.Load(); now != before && l.Index < now {
			continue
		}
		c.index.Store(l.Index)
		c.needsSnapshot.Store(false)
		c.notifyResponse()
		return l, nil
	}
}

// fetchOnce makes one call for a snapshot. It gives up if the response does not begin within half a heartbeat, stops for that
// long, or takes more than two heartbeats from its beginning. The error for a response that began says how many bytes of the
// snapshot were read.
func (c *Client) fetchOnce(ctx context.Context) (l List, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	answerTimer := c.startAnswerTimer(cancel)
	defer answerTimer.Stop()
	body, err := c.get(ctx, "")
	if err != nil {
		return l, cancelCause(ctx, err)
	}
	defer func() { _ = body.Close() }() // the body was read to its end, or the call has failed
	answerTimer.Stop()
	stallTimer := time.AfterFunc(c.heartbeat/2, func() { cancel(ErrSnapshotStalled) })
	defer stallTimer.Stop()
	totalTimer := time.AfterFunc(c.heartbeat*2, func() { cancel(ErrSnapshotTooSlow) })
	defer totalTimer.Stop()
	data, err := io.ReadAll(&idleTimeoutReader{from: io.LimitReader(body, maxObjectBytes), timer: stallTimer, timeout: c.heartbeat / 2})
	if err != nil {
		return l, fmt.Errorf("%w after %d bytes", cancelCause(ctx, err), len(data))
	}
	l, skipped, err := Decode(data)
	logSkipped(skipped)
	return l, err
}

// Watch calls onList for each change after the version read last. If a change may have been missed, it fetches a snapshot
// first. Watch returns when the watch ends, always with an error. After a line that cannot be used in whole or in part, or
// whose index is lower than the last one, Watch ends and reads nothing more: a later change would advance the index past the
// lost one. The next Watch then begins with a snapshot.
func (c *Client) Watch(ctx context.Context, onList func(List)) error {
	if c.needsSnapshot.Load() {
		l, err := c.FetchSnapshot(ctx)
		if err != nil {
			return fmt.Errorf("read snapshot: %w", err)
		}
		onList(l)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	answerTimer := c.startAnswerTimer(cancel)
	defer answerTimer.Stop()
	body, err := c.get(ctx, "?watch=1&after="+strconv.FormatInt(c.index.Load(), 10))
	if err != nil {
		return cancelCause(ctx, err)
	}
	defer func() { _ = body.Close() }() // the watch has already failed
	answerTimer.Stop()
	heartbeatTimer := time.AfterFunc(c.heartbeat*silenceTimeoutQuarters/4, func() { cancel(ErrHeartbeatTimeout) })
	defer heartbeatTimer.Stop()
	lines := bufio.NewReader(body)
	for {
		line, err := readLine(lines)
		if err != nil {
			return cancelCause(ctx, err)
		}
		heartbeatTimer.Reset(c.heartbeat * silenceTimeoutQuarters / 4)
		c.notifyResponse()
		if line = bytes.TrimSpace(line); len(line) == 0 {
			continue // a heartbeat
		}
		if err := c.handleLine(line, onList); err != nil {
			c.needsSnapshot.Store(true)
			return err
		}
	}
}

// handleLine passes the list in a line of a watch to onList. If some endpoints of a change are unusable, it passes on the
// others and returns ErrUnusableEndpoints.
func (c *Client) handleLine(line []byte, onList func(List)) error {
	l, skipped, err := Decode(line)
	logSkipped(skipped)
	if err != nil {
		return fmt.Errorf("decode line: %w", err)
	}
	if !l.Snapshot && l.Index < c.index.Load() {
		return fmt.Errorf("%w: %d after %d", ErrIndexDecreased, l.Index, c.index.Load())
	}
	c.index.Store(l.Index)
	onList(l)
	if len(skipped) > 0 && !l.Snapshot {
		return fmt.Errorf("%w: %d skipped", ErrUnusableEndpoints, len(skipped))
	}
	return nil
}

// Follow keeps a watch open until ctx ends, and begins with a snapshot. It calls onList for each list received, and failed for
// each watch that ended. The next watch is opened after a backoff that grows with the number of consecutive watches that lasted
// no longer than a heartbeat. The backoff is randomized by jitter, which returns numbers between 0 and 1.
func (c *Client) Follow(ctx context.Context, onList func(List), failed func(), jitter func() float64) {
	c.needsSnapshot.Store(true)
	for shortWatches := 0; ctx.Err() == nil; shortWatches++ {
		opened := time.Now()
		err := c.Watch(ctx, onList)
		if ctx.Err() != nil {
			return
		}
		age := time.Since(opened)
		if age > c.heartbeat {
			shortWatches = 0
		}
		slog.Warn("endpoint watch ended", "err", err, "age", age.Round(time.Millisecond))
		failed()
		backoff := min(c.heartbeat/4, c.heartbeat/10<<min(shortWatches, 8))
		select {
		case <-time.After(time.Duration(float64(backoff) * (1 + jitter()) / 2)):
		case <-ctx.Done():
		}
	}
}

// get makes a call and returns the body of its response. A status other than 200 is ErrStatus.
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

// startAnswerTimer starts a timer that cancels a call with ErrResponseTimeout after half a heartbeat. The caller stops it when the
// response begins.
func (c *Client) startAnswerTimer(cancel context.CancelCauseFunc) *time.Timer {
	return time.AfterFunc(c.heartbeat/2, func() { cancel(ErrResponseTimeout) })
}

// notifyResponse calls OnResponse, if it is set.
func (c *Client) notifyResponse() {
	if c.OnResponse != nil {
		c.OnResponse()
	}
}

// idleTimeoutReader is a reader that resets a timer before each read. The timer cancels the call, so a response that stops for
// longer than the timeout ends it.
type idleTimeoutReader struct {
	from    io.Reader
	timer   *time.Timer
	timeout time.Duration
}

// Read implements io.Reader.
func (p *idleTimeoutReader) Read(b []byte) (int, error) {
	p.timer.Reset(p.timeout)
	return p.from.Read(b)
}

// readLine reads a line, including its newline. A line over maxObjectBytes is ErrLineTooLong; a line without a newline at the
// end of the stream is an error too.
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
		if len(long) > maxObjectBytes {
			return nil, fmt.Errorf("%w: over %d bytes", ErrLineTooLong, maxObjectBytes)
		}
	}
}

// logSkipped logs the endpoints that Decode skipped.
func logSkipped(skipped []error) {
	for _, err := range skipped {
		slog.Warn("endpoint skipped", "err", err)
	}
}

// cancelCause returns the cause for which ctx was cancelled, or err if ctx was not cancelled.
func cancelCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
