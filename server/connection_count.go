package server

import (
	"sync"
	"time"
)

// connectionCount counts the connections that have a goroutine. Unlike a sync.WaitGroup, it may be waited for while the first connection
// is being added.
type connectionCount struct {
	mu    sync.Mutex    // guards the fields below
	count int           // of connections
	ended chan struct{} // closed when count becomes 0; nil if nobody waits
}

// add counts a new connection. The caller must call done when it has ended.
func (c *connectionCount) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
}

// done removes a connection that has ended.
func (c *connectionCount) done() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
	if c.count == 0 && c.ended != nil {
		close(c.ended)
		c.ended = nil
	}
}

// wait waits until there are no connections. It returns false if the timeout passes first.
func (c *connectionCount) wait(timeout time.Duration) bool {
	c.mu.Lock()
	if c.count == 0 {
		c.mu.Unlock()
		return true
	}
	if c.ended == nil {
		c.ended = make(chan struct{})
	}
	ended := c.ended
	c.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(timeout):
		return false
	}
}
