package processtest

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"dapplerouter/testsupport/fakeserver"
)

// request is one that a client asked for.
type request struct {
	id     string
	front  string
	at     time.Time
	took   time.Duration
	code   string // "" for committed
	broken bool   // no final answer: the connection ended
	write  bool
	group  int
}

// load is clients that ask fronts, each in turn, and keep what they heard.
type load struct {
	r    *Rig
	stop chan struct{}
	all  sync.WaitGroup
	next atomic.Int64

	mu       sync.Mutex
	requests []request
}

func (r *Rig) clients(n int) *load {
	l := &load{r: r, stop: make(chan struct{})}
	for i := range n {
		l.all.Go(func() { l.client(i) })
	}
	return l
}

// client keeps a connection to one front, as a session does, and goes to the next one when that ends.
func (l *load) client(i int) {
	at := i
	var c *fakeserver.Client
	var front *Front
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		if c == nil {
			front = l.r.fronts[at%len(l.r.fronts)]
			at++
			var err error
			if c, err = fakeserver.Dial(front.clients); err != nil {
				c = nil
				time.Sleep(20 * time.Millisecond)
				continue
			}
		}
		k := l.next.Add(1)
		t := request{id: fmt.Sprintf("t%d", k), front: front.Name, at: time.Now(), write: k%4 == 3}
		if l.r.other != nil && k%32 >= 30 {
			t.group = 1
		}
		sql := fmt.Sprintf("SELECT 'x' /* id=%s,c=browse,d=2000,cluster=%d */", t.id, t.group)
		if t.write {
			sql = fmt.Sprintf("INSERT INTO bookings (id, house, diner) VALUES ('%s', '1', 'x') RETURNING id /* id=%s,c=book,k=m%s,d=2000,cluster=%d */", t.id, t.id, t.id, t.group)
		}
		a, err := c.Query(sql)
		t.took, t.code, t.broken = time.Since(t.at), a.Code, err != nil
		l.mu.Lock()
		l.requests = append(l.requests, t)
		l.mu.Unlock()
		if err != nil {
			c.Close()
			c = nil
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (l *load) end() []request {
	close(l.stop)
	l.all.Wait()
	return l.requests
}
