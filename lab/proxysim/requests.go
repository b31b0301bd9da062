package proxysim

import (
	"fmt"
	"time"

	"dapplerouter/front"
	"dapplerouter/pgwire"
)

// Types of requests.
const (
	Browse = "browse" // reads, which any server of the group may answer
	Book   = "book"   // writes with an idempotency key
)

// Request is one that a client sent. Times are virtual.
type Request struct {
	ID, Front  string
	Type       string
	ReceivedAt time.Duration
	Timeout    time.Duration // that the client allows
	FinishedAt time.Duration
	Responses  int
	Status     front.Status // of the last response
	Write      bool
}

// generateRequests sends requests at random times, at the configured rate, for as long as the process lives.
func (f *Front) generateRequests() {
	c, load := f.cluster, f.cluster.Options.Load
	if load.Rate <= 0 {
		return
	}
	f.host.After(time.Duration(c.Rand.ExpFloat64()/load.Rate*float64(time.Second)), func(time.Duration) {
		f.SendRequest(int64(c.Rand.IntN(c.Options.Servers.Groups)), c.Rand.Float64() < load.WriteFraction)
		f.generateRequests()
	})
}

// SendRequest sends the front one request for a group.
func (f *Front) SendRequest(group int64, write bool) *Request {
	c := f.cluster
	c.requestCount++
	x := &Request{ID: fmt.Sprint("t", c.requestCount), Front: f.Name, ReceivedAt: c.Now, Timeout: c.Options.Load.Deadline, Type: Browse, Write: write}
	if f.FailureRate != nil && c.Rand.Float64() < f.FailureRate(f.Core.ConfigVersion()) {
		x.Timeout = time.Millisecond // too short for any server
	}
	deadline := x.Timeout.Milliseconds()
	sql := fmt.Sprintf("SELECT 'x' /* id=%s,c=%s,d=%d,cluster=%d */", x.ID, Browse, deadline, group)
	if write {
		x.Type = Book
		sql = fmt.Sprintf("INSERT INTO bookings (id) VALUES ('%s') /* id=%s,c=%s,k=m%s,d=%d,cluster=%d */", x.ID, x.ID, Book, x.ID, deadline, group)
	}
	s, err := pgwire.ParseStatement([]byte(sql + "\x00"))
	if err != nil {
		panic(fmt.Sprintf("proxysim: parse own statement: %v", err))
	}
	if !c.Options.DiscardRequests {
		c.Requests = append(c.Requests, x)
	}
	f.Received[x.Type]++
	f.post(front.NewRequest(&client{f, x}, s, f.host.Clock()))
	return x
}

// client counts the responses to one request.
type client struct {
	front   *Front
	request *Request
}

// Respond implements front.Client.
func (c *client) Respond(r front.Response) {
	c.request.Responses++
	c.request.Status, c.request.FinishedAt = r.Status, c.front.cluster.Now
	if r.Status == front.StatusSucceeded {
		c.front.Succeeded[c.request.Type]++
	}
}
