package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/pgwire"
)

// fill extends the list to so many servers; those beside the group's own get no request here.
func (l *endpointList) fill(servers int) { l.fillAt(servers, usualGroupSize, 5432) }

const usualGroupSize = 5 // servers of a group; the first is its primary

// fillAt has them reached at a port, in groups of a size.
func (l *endpointList) fillAt(servers, size, port int) {
	l.update(func() {
		all, _ := l.snapshot["endpoints"].([]any)
		for i := len(all); i < servers; i++ {
			all = append(all, map[string]any{"name": fmt.Sprintf("s-%08x", i*7919), "address": fmt.Sprintf("127.9.%d.%d:%d", i>>8, i&255, port),
				"zone": "a", "type": "m2", "group": i / size, "status": "up", "weight": 1.0, "since_ms": 0, "role": role(i, size)})
		}
		l.snapshot["endpoints"] = all
	})
}

// role is that of the server of a number in a filled list.
func role(i, size int) string {
	if i%size == 0 {
		return "primary"
	}
	return "replica"
}

// usage is what a front took over a run.
type frontUsage struct {
	cpu         time.Duration
	memory      int64 // bytes, at its peak
	descriptors int
	served      int
	listBytes   int64
}

// measureListOf has a front serve for a while with so many servers on its list, cached and followed, while some of these change.
func measureListOf(t *testing.T, servers int, span time.Duration) (u frontUsage) {
	g := startGroup(t, 5)
	l := startEndpointList(t, g)
	l.fill(servers)
	whole, _, _ := l.current()
	p := startWithEndpoints(t, l.address(), json.RawMessage(whole), setting{"memory_mb", 192})
	var clients sync.WaitGroup
	var mu sync.Mutex
	until := time.Now().Add(span)
	for i := range 4 {
		c := dial(t, p.address)
		clients.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				a, err := c.Query(readStatement(fmt.Sprintf("c%d-%d", i, n), 900))
				if err == nil && a.Code == "" {
					mu.Lock()
					u.served++
					mu.Unlock()
				}
				time.Sleep(130 * time.Millisecond)
			}
		})
	}
	for n := 0; time.Now().Before(until); n++ {
		time.Sleep(span / 10)
		u.descriptors = max(u.descriptors, p.descriptors())
		l.setEndpoint(g.Members[n%5], "weight", 1.0+float64(n))
	}
	clients.Wait()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(t, err)
	_, peak, _ := strings.Cut(string(status), "VmHWM:")
	_, err = fmt.Sscan(peak, &u.memory)
	require.NoError(t, err)
	u.memory <<= 10
	u.listBytes = l.bytes.Load()
	p.terminate()
	used := p.cmd.ProcessState.SysUsage().(*syscall.Rusage)
	u.cpu = time.Duration(used.Utime.Nano() + used.Stime.Nano())
	return u
}

// STANDING.md: "fleets with up to sixteen times the stores (3,200 at most) [...] What a front needs in the mean may grow only so far
// over the same day at the usual size": 1.4 times the CPU seconds plus 0.02 and 0.03 for each thousand stores, 1.5 times the peak memory
// plus 8 MB and 4 MB for each thousand, twice the descriptors plus 40, twice the bytes of lists plus 64 KB and 500 KB for each
// thousand, and not under 0.85 of what is served.
func TestResourceUseWithThousandsOfServers(t *testing.T) {
	t.Parallel()
	const usual, large, span = 200, 3200, 20 * time.Second
	var before, after frontUsage
	var both sync.WaitGroup
	both.Go(func() { before = measureListOf(t, usual, span) })
	both.Go(func() { after = measureListOf(t, large, span) })
	both.Wait()
	t.Logf("%d servers: %+v; %d servers: %+v", usual, before, large, after)
	thousands := float64(large) / 1000
	assert.Less(t, after.cpu.Seconds(), 1.4*before.cpu.Seconds()+0.02+0.03*thousands, "CPU seconds")
	assert.Less(t, float64(after.memory), 1.5*float64(before.memory)+(8+4*thousands)*(1<<20), "peak memory")
	assert.Less(t, after.descriptors, 2*before.descriptors+40)
	assert.Less(t, float64(after.listBytes), 2*float64(before.listBytes)+64<<10+500_000*thousands, "bytes of lists")
	assert.GreaterOrEqual(t, float64(after.served), 0.85*float64(before.served))
}

// startWildcardServer answers as each server of a filled list, on all addresses of loopback, and counts the connections made to it.
func startWildcardServer(t *testing.T, groupSize int) (port int, connections *atomic.Int64) {
	l, err := net.Listen("tcp4", "0.0.0.0:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	connections = new(atomic.Int64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go answerAll(c, groupSize)
		}
	}()
	return l.Addr().(*net.TCPAddr).Port, connections
}

// answerAll answers each statement of a connection with one short row.
func answerAll(c net.Conn, groupSize int) {
	address := c.LocalAddr().(*net.TCPAddr).IP.To4()
	name := role(int(address[2])<<8|int(address[3]), groupSize)
	answerEach(c, func() []byte {
		applied := strconv.FormatInt(time.Now().UnixMilli(), 10)
		return bytes.Join([][]byte{
			message('T', []byte("\x00\x01data\x00"+strings.Repeat("\x00", 9)+"\x11\xff\xff\xff\xff\xff\xff\x00\x01")),
			message('D', []byte("\x00\x01\x00\x00\x00\x01x")),
			message('S', []byte("role\x00"+name+"\x00")),
			message('S', []byte("applied_ms\x00"+applied+"\x00")),
			message('C', []byte("SELECT 1\x00")),
			pgwire.AppendReadyForQuery(nil)}, nil)
	}, func() {})
}

// measureGroupsOf has a front serve reads of all groups of a filled list, and counts the connections that it made.
func measureGroupsOf(t *testing.T, groups, groupSize int, span time.Duration) (connections int64, served int) {
	g := startGroup(t, 0)
	port, made := startWildcardServer(t, groupSize)
	l := startEndpointList(t, g)
	l.fillAt(groups*groupSize, groupSize, port)
	whole, _, _ := l.current()
	p := startWithEndpoints(t, l.address(), json.RawMessage(whole), setting{"memory_mb", 192})
	var clients sync.WaitGroup
	var answered atomic.Int64
	until := time.Now().Add(span)
	for i := range 4 {
		c := dial(t, p.address)
		clients.Go(func() {
			random := rand.New(rand.NewPCG(7, uint64(i)))
			for n := 0; time.Now().Before(until); n++ {
				group := random.IntN(groups)
				a, err := c.Query(fmt.Sprintf("SELECT 'x' /* id=c%d-%d,c=browse,d=900,cluster=%d */", i, n, group))
				if err == nil && a.Code == "" {
					answered.Add(1)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	p.terminate()
	return made.Load(), int(answered.Load())
}

// The same clause's connections made to stores, 2.5 times plus 40, with reads spread over all groups and sixteen times the servers in each.
func TestConnectionsWithManyServersPerGroup(t *testing.T) {
	t.Parallel()
	const groups, span = 40, 20 * time.Second
	var before, after int64
	var servedBefore, servedAfter int
	var both sync.WaitGroup
	both.Go(func() { before, servedBefore = measureGroupsOf(t, groups, usualGroupSize, span) })
	both.Go(func() { after, servedAfter = measureGroupsOf(t, groups, 16*usualGroupSize, span) })
	both.Wait()
	t.Logf("groups of %d: %d connections, %d served; of %d: %d connections, %d served",
		usualGroupSize, before, servedBefore, 16*usualGroupSize, after, servedAfter)
	assert.Less(t, after, 5*before/2+40)
	assert.GreaterOrEqual(t, float64(servedAfter), 0.85*float64(servedBefore))
}
