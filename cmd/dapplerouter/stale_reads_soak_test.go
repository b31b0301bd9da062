package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"dapplerouter/testsupport/fakeserver"
)

const (
	staleSoakSeedsInCI = 8
	staleSoakLife      = 4 * time.Second
	staleSoakClients   = 6
	staleSoakLag       = 20 * time.Millisecond // of a replica that applies the log
)

// staleSoak plays random changes of the primary, of what servers report and of the list, while clients read and write.
type staleSoak struct {
	*staleGroup
	seed   uint64
	random *rand.Rand // of the faults

	mu    sync.Mutex // guards the field below
	reads []soakedRead
}

// soakedRead is a read that was served.
type soakedRead struct {
	id      string
	data    time.Time // log position of the data
	bounded bool
	atLeast time.Time // position that the data of a session's read must have, of the session's last write; zero for none
}

// fault is one step of the script: it draws a fault or its end.
func (s *staleSoak) fault() {
	server := s.Servers[s.random.IntN(len(s.Servers))]
	now := s.Now()
	switch s.random.IntN(9) {
	case 0, 1:
		s.changePrimary(now)
	case 2:
		server.HoldLoadReport(s.random.IntN(2) == 0)
	case 3: // the list is late, so it may name any server
		s.list.setEndpoint(server, "role", []string{"primary", "replica"}[s.random.IntN(2)])
	case 4:
		server.StopApplying(now.Add(-staleSoakLag))
	case 5:
		server.StopApplying(time.Time{})
	case 6:
		server.DelayGreeting(time.Duration(s.random.IntN(2)*s.random.IntN(500)) * time.Millisecond)
	case 7:
		server.Hang(s.random.IntN(2) == 0)
	case 8:
		s.list.setEndpoint(server, "since_ms", now.UnixMilli())
	}
}

// changePrimary makes another server the primary, or none. The former one may lose the end of its log.
func (s *staleSoak) changePrimary(now time.Time) {
	if former := s.PrimaryIndex.Load(); former != noPrimary && s.random.IntN(2) == 0 {
		s.Servers[former].StopApplying(now.Add(-time.Duration(s.random.IntN(2000)) * time.Millisecond))
	}
	s.PrimaryIndex.Store(int64(s.random.IntN(len(s.Servers)+2)) - 1)
	if s.PrimaryIndex.Load() >= int64(len(s.Servers)) {
		s.PrimaryIndex.Store(noPrimary)
	}
}

// runClient sends requests of one session until stop is closed.
func (s *staleSoak) runClient(client int, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(s.seed, uint64(client)))
	var c *fakeserver.Client
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	key, lastWrite := fmt.Sprint("age_of_data-", client), time.Time{}
	bookings := 0 // the newest idempotency key
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(20)) * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = fakeserver.Dial(s.process.address); err != nil {
				c = nil
				continue
			}
		}
		id := fmt.Sprintf("c%d-%d", client, n)
		insert := fmt.Sprintf("INSERT INTO bookings (id, house, diner) VALUES ('%s', '1', 'x') RETURNING id", key)
		class, sql, more := "slots", "SELECT '"+key+"'", ""
		switch random.IntN(8) {
		case 0:
			class, sql = "pay", insert
		case 1: // a new key, or an earlier one again
			repeated := random.IntN(4)
			if repeated == 0 {
				bookings++
			}
			class, sql, more = "book", insert, fmt.Sprintf(",k=%d-%d", client, max(0, bookings-repeated))
		case 2, 3, 4:
			class = "mine"
		}
		a, err := c.Query(fmt.Sprintf("%s /* id=%s,c=%s,d=300,cluster=0%s */", sql, id, class, more))
		if err != nil { // the front closes idle connections, and a client may be late
			c.Close()
			c = nil
			continue
		}
		if a.Code != "" || len(a.Rows) != 1 {
			continue
		}
		millis, err := strconv.ParseInt(a.Rows[0][0], 10, 64)
		switch data := time.UnixMilli(millis); {
		case err != nil: // the answer to a repeated write
		case sql == insert:
			lastWrite = data
		case class == "mine":
			s.served(soakedRead{id: id, data: data, atLeast: lastWrite})
		default:
			s.served(soakedRead{id: id, data: data, bounded: true})
		}
	}
}

func (s *staleSoak) served(r soakedRead) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads = append(s.reads, r)
}

// judge asserts that no read was served from data that was too old when a server last got it, or that lacks the session's last write.
func (s *staleSoak) judge() {
	sent := map[string]time.Time{}
	for _, server := range s.Servers {
		for _, seen := range server.Statements() {
			if seen.At.After(sent[seen.ID]) {
				sent[seen.ID] = seen.At
			}
		}
	}
	allowed := staleBound + limitSlack + time.Duration(s.late.Load())
	for _, r := range s.reads {
		if r.bounded {
			assert.Less(s.t, sent[r.id].Sub(r.data), allowed, "%s: the data is too old", r.id)
		}
		assert.False(s.t, r.data.Before(r.atLeast), "%s: the data is %v older than the session's last write", r.id, r.atLeast.Sub(r.data))
	}
	assert.NotEmpty(s.t, s.reads)
	s.t.Logf("%d reads served", len(s.reads))
}

func TestSoakOfPrimaryChangesServesNoStaleRead(t *testing.T) {
	first := soakNumber("SOAK_FIRST", 1)
	for seed := first; seed < first+soakNumber("SOAK_SEEDS", staleSoakSeedsInCI); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := &staleSoak{staleGroup: startStaleGroup(t), seed: uint64(seed), random: rand.New(rand.NewPCG(uint64(seed), staleSoakClients))}
			s.ReplicaLag.Store(int64(staleSoakLag))
			stop := make(chan struct{})
			var clients sync.WaitGroup
			for i := range staleSoakClients {
				clients.Go(func() { s.runClient(i, stop) })
			}
			for end := time.Now().Add(staleSoakLife); time.Now().Before(end); {
				time.Sleep(time.Duration(20+s.random.IntN(200)) * time.Millisecond)
				s.fault()
			}
			close(stop)
			clients.Wait()
			s.judge()
		})
	}
}
