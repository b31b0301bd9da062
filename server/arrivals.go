package server

import (
	"time"

	"dapplerouter/tcpconn"
)

// arrivals holds when the bytes of a client's connection were received, as far as they lie unread in the socket. A request counts its
// timeout from its last byte, also if earlier requests of its connection keep it from being read.
//
// Invariant: The time of a byte is never earlier than that of its receipt, so that no request loses time that it has left.
type arrivals struct{ samples []arrival }

// arrival says that all bytes of the connection before an offset were received by a time.
type arrival struct {
	offset   int64         // in bytes since the connection began
	from, at time.Duration // of the first and the last observation that the sample stands for, on the core's clock
}

// Precision and size of arrivals.
const (
	arrivalInterval   = 50 * time.Millisecond // between two observations of a connection that is not read
	arrivalPrecision  = 20 * time.Millisecond // observations within this time share a sample
	maxArrivalSamples = 128
)

// observe records that all bytes before an offset have been received. Offsets and times don't decrease from call to call.
func (a *arrivals) observe(offset int64, now time.Duration) {
	n := len(a.samples)
	if n > 0 && offset <= a.samples[n-1].offset {
		return
	}
	if n > 0 && (n == maxArrivalSamples || now-a.samples[n-1].from < arrivalPrecision) {
		a.samples[n-1].offset, a.samples[n-1].at = offset, now
		return
	}
	a.samples = append(a.samples, arrival{offset, now, now})
}

// take returns when the last of the bytes before an offset was received: now for bytes that were not observed. It forgets earlier bytes,
// so offsets must not decrease from call to call.
func (a *arrivals) take(offset int64, now time.Duration) time.Duration {
	for len(a.samples) > 0 {
		if a.samples[0].offset >= offset {
			return a.samples[0].at
		}
		a.samples = a.samples[1:]
	}
	a.samples = nil
	return now
}

// observeUnread records the bytes that the client's connection has received and that are not read. It returns when to call it again while
// nothing is read.
func (c *client) observeUnread() (next time.Time) {
	c.arrivals.observe(c.reader.Received()+int64(tcpconn.Unread(c.tcp)), c.server.options.Clock.Now())
	return time.Now().Add(arrivalInterval)
}

// receivedAt returns when the last byte of the message was received that was read last.
func (c *client) receivedAt() time.Duration {
	return c.arrivals.take(c.reader.Consumed(), c.server.options.Clock.Now())
}
