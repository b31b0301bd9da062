package main

import (
	"fmt"
	"sync"
	"time"
)

// load is the clients: each request gets an idle connection, or a new one where all are busy.
type load struct {
	rec  *record
	mu   sync.Mutex
	idle map[string][]*client
	all  []*request
	n    int
	wg   sync.WaitGroup

	retries   int           // that a client makes by itself, after a refusal or a lost connection
	retryWait time.Duration // before each
}

// request is a request of a client.
type request struct {
	kind, class, id, front, key, code string
	sent, answered                    time.Time
	patience                          time.Duration
	answer                            answer
}

func newLoad(rec *record) *load { return &load{rec: rec, idle: map[string][]*client{}} }

func (l *load) connection(address string) (*client, error) {
	l.mu.Lock()
	if n := len(l.idle[address]); n > 0 {
		c := l.idle[address][n-1]
		l.idle[address] = l.idle[address][:n-1]
		l.mu.Unlock()
		return c, nil
	}
	l.mu.Unlock()
	return dial(address)
}

func (l *load) read(address, class string, group int, patience time.Duration) {
	l.mu.Lock()
	l.n++
	q := &request{kind: "read", class: class, front: address, patience: patience, code: fmt.Sprintf("%016x", 1<<48+l.n)}
	l.mu.Unlock()
	l.start(q, func(q *request) string {
		return fmt.Sprintf("SELECT data FROM facts WHERE code = '%s' /* id=%s,c=%s,d=%d,cluster=%d */", q.code, q.id, class, patience.Milliseconds(), group)
	})
}

func (l *load) write(address string, group int, patience time.Duration) {
	l.mu.Lock()
	l.n++
	q := &request{kind: "write", class: "book-table", key: fmt.Sprintf("%016x", 1<<40+l.n), code: fmt.Sprintf("%016x", 1<<48+l.n), front: address, patience: patience}
	l.mu.Unlock()
	l.start(q, func(q *request) string {
		return fmt.Sprintf("INSERT INTO facts (code, data) VALUES ('%s', '\\x9f03') RETURNING data /* id=%s,c=book-table,d=%d,k=%s,cluster=%d */", q.code, q.id,
			patience.Milliseconds(), q.key, group)
	})
}

// start sends a request and records its answer. A client sends a request again where the front closed a resting connection, and retries by
// itself as often as the load says; each retry has a new id.
func (l *load) start(q *request, statement func(*request) string) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		for retry := 0; ; retry++ {
			l.mu.Lock()
			l.n++
			q.id = fmt.Sprintf("%016x", l.n)
			l.mu.Unlock()
			l.try(q, statement(q))
			l.rec.logAt(q.sent, "client sends %s %s c=%s k=%s code=%s to %s; %s %s %s after %d ms", q.kind, q.id, q.class, q.key, q.code, q.front,
				q.answer.status, q.answer.code, q.answer.value, q.answered.Sub(q.sent).Milliseconds())
			l.mu.Lock()
			l.all = append(l.all, q)
			l.mu.Unlock()
			if q.answer.status == "served" || q.answer.status == "failed" || retry >= l.retries {
				return
			}
			time.Sleep(l.retryWait)
			next := *q
			q = &next
		}
	}()
}

// try sends a request once. Where a resting connection was closed, it is sent once more on a new connection. While nobody listens the client
// tries again, for a second at most.
func (l *load) try(q *request, sql string) {
	for try := 0; ; try++ {
		connect := l.connection
		if try > 0 {
			connect = dial
		}
		c, err := connect(q.front)
		for until := time.Now().Add(time.Second); err != nil && l.retries > 0 && time.Now().Before(until); c, err = dial(q.front) {
			time.Sleep(10 * time.Millisecond)
		}
		if err != nil {
			q.sent, q.answered, q.answer = time.Now(), time.Now(), answer{status: "no connection", code: err.Error()}
			return
		}
		q.sent = time.Now()
		q.answer = c.query(sql, q.patience+3*time.Second)
		q.answered = time.Now()
		if q.answer.status == "closed" {
			c.close()
			if try == 0 && q.answered.Sub(q.sent) < 20*time.Millisecond {
				continue
			}
			return
		}
		l.mu.Lock()
		l.idle[q.front] = append(l.idle[q.front], c)
		l.mu.Unlock()
		return
	}
}

func (l *load) wait() { l.wg.Wait() }

func (l *load) count(kind, status string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, q := range l.all {
		if q.kind == kind && q.answer.status == status {
			n++
		}
	}
	return n
}

// report says how the requests ended.
func (l *load) report() {
	for _, kind := range []string{"read", "write"} {
		line := kind + "s:"
		for _, status := range []string{"served", "refused", "failed", "closed", "no connection"} {
			line += fmt.Sprintf(" %s %d", status, l.count(kind, status))
		}
		l.rec.say("%s", line)
	}
}

func (f *front) alive() bool {
	select {
	case <-f.done:
		return false
	default:
		return true
	}
}
