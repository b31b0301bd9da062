package proxysim

import (
	"fmt"
	"time"

	"dapplerouter/front"
	"dapplerouter/pgwire"
)

// Names of the request types.
const (
	Browse = "browse" // a read, which any server of the group may answer
	Book   = "book"   // a write with an idempotency key, which the primary applies only once within dedupWindow
)

// Request is a client's request with its outcome. Times are virtual.
type Request struct {
	ID, Front  string
	Type       string
	ReceivedAt time.Duration
	Timeout    time.Duration // the time that the client gives the request
	FinishedAt time.Duration
	Responses  int          // the number of responses that the client received
	Status     front.Status // of the last response
	Write      bool
}

// generateRequests sends requests to the front at random times, at the configured average rate, until the process ends.
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

// SendRequest sends a request for a group of servers to the front.
func (f *Front) SendRequest(group int64, write bool) *Request {
	c := f.cluster
	c.requestCount++
	request := &Request{
		ID:         fmt.Sprint("t", c.requestCount),
		Front:      f.Name,
		ReceivedAt: c.Now,
		Timeout:    c.Options.Load.Deadline,
		Type:       Browse,
		Write:      write,
	}
	if f.FailureRate != nil && c.Rand.Float64() < f.FailureRate(f.Core.ConfigVersion()) {
		request.Timeout = time.Millisecond // too short for any server, so the request fails
	}
	deadline := request.Timeout.Milliseconds()
	sql := fmt.Sprintf("SELECT 'x' /* id=%s,c=%s,d=%d,cluster=%d */", request.ID, Browse, deadline, group)
	if write {
		request.Type = Book
		sql = fmt.Sprintf("INSERT INTO bookings (id) VALUES ('%s') /* id=%s,c=%s,k=m%s,d=%d,cluster=%d */",
			request.ID, request.ID, Book, request.ID, deadline, group)
	}
	s, err := pgwire.ParseStatement([]byte(sql + "\x00"))
	if err != nil {
		panic(fmt.Sprintf("proxysim: parse own statement: %v", err))
	}
	if !c.Options.DiscardRequests {
		c.Requests = append(c.Requests, request)
	}
	f.Received[request.Type]++
	f.post(front.NewRequest(&client{f, request}, s, f.host.Clock()))
	return request
}

// client records the responses to one request. It implements front.Client.
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
