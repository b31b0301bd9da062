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

// fill extends the list to a number of servers. The added ones are in other groups, which get no requests.
func (l *endpointList) fill(servers int) { l.fillAt(servers, usualGroupSize, 5432) }

const usualGroupSize = 5 // servers in a group, the first of which is the primary

// fillAt is fill with the size of the groups and the port of the added servers.
func (l *endpointList) fillAt(servers, groupSize, port int) {
	l.update(func() {
		all, _ := l.snapshot["endpoints"].([]any)
		for i := len(all); i < servers; i++ {
			all = append(all, map[string]any{"name": fmt.Sprintf("s-%08x", i*7919), "address": fmt.Sprintf("127.9.%d.%d:%d", i>>8, i&255, port),
				"zone": "a", "type": "m2", "group": i / groupSize, "status": "up", "weight": 1.0, "since_ms": 0, "role": role(i, groupSize)})
		}
		l.snapshot["endpoints"] = all
	})
}

// role returns the role of the i-th server in a filled list.
func role(i, groupSize int) string {
	if i%groupSize == 0 {
		return "primary"
	}
	return "replica"
}

// frontUsage is the resource usage of a front over a run.
type frontUsage struct {
	cpu         time.Duration
	memory      int64 // peak resident memory, in bytes
	descriptors int   // highest number of open file descriptors
	served      int   // requests
	listBytes   int64 // sent by the discovery service
}

// measureListOf measures a front that serves for a time span with a number of servers on its endpoint list, some of which change. The
// front starts with the list cached, and follows it.
func measureListOf(t *testing.T, servers int, span time.Duration) (u frontUsage) {
	g := startGroup(t, 5)
	l := startEndpointList(t, g)
	l.fill(servers)
	snapshot, _, _ := l.current()
	p := startWithEndpoints(t, l.address(), json.RawMessage(snapshot), setting{"memory_mb", 192})
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
		l.setEndpoint(g.Servers[n%5], "weight", 1.0+float64(n))
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

// docs/terms-audit.md (Limits and sizes): what a front needs in the mean with 3,200 stores, sixteen times the usual number, may grow
// only so far over what it needs with the usual number. The limits are 1.4 times the CPU seconds plus 0.02 and 0.03 for each thousand
// servers, 1.5 times the peak memory plus 8 MB and 4 MB for each thousand, twice the descriptors plus 40, and twice the bytes of lists
// plus 64 KB and 500 KB for each thousand. At least 0.85 as many requests must be served. The requirement calls servers stores.
func TestResourceUseWithThousandsOfServers(t *testing.T) {
	t.Parallel()
	const usual, large, span = 200, 3200, 20 * time.Second
	var usualUsage, largeUsage frontUsage
	var both sync.WaitGroup
	both.Go(func() { usualUsage = measureListOf(t, usual, span) })
	both.Go(func() { largeUsage = measureListOf(t, large, span) })
	both.Wait()
	t.Logf("%d servers: %+v; %d servers: %+v", usual, usualUsage, large, largeUsage)
	thousands := float64(large) / 1000
	assert.Less(t, largeUsage.cpu.Seconds(), 1.4*usualUsage.cpu.Seconds()+0.02+0.03*thousands, "CPU seconds")
	assert.Less(t, float64(largeUsage.memory), 1.5*float64(usualUsage.memory)+(8+4*thousands)*(1<<20), "peak memory")
	assert.Less(t, largeUsage.descriptors, 2*usualUsage.descriptors+40)
	assert.Less(t, float64(largeUsage.listBytes), 2*float64(usualUsage.listBytes)+64<<10+500_000*thousands, "bytes of lists")
	assert.GreaterOrEqual(t, float64(largeUsage.served), 0.85*float64(usualUsage.served))
}

// startWildcardServer starts a fake server on all loopback addresses, which stands for every server of a filled list. It counts the
// connections that are made to it.
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

// answerAll answers each statement of a connection with one short row. It derives the server's role from the connection's local address.
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

// measureGroupsOf runs a front that serves reads for all groups of a filled list. It returns how many connections the front made to
// servers, and how many requests it served.
func measureGroupsOf(t *testing.T, groups, groupSize int, span time.Duration) (connections int64, served int) {
	g := startGroup(t, 0)
	port, accepted := startWildcardServer(t, groupSize)
	l := startEndpointList(t, g)
	l.fillAt(groups*groupSize, groupSize, port)
	snapshot, _, _ := l.current()
	p := startWithEndpoints(t, l.address(), json.RawMessage(snapshot), setting{"memory_mb", 192})
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
	return accepted.Load(), int(answered.Load())
}

// The same requirement for connections made to servers: with sixteen times the servers in each group, and reads spread over all groups, a
// front makes at most 2.5 times the connections plus 40.
func TestConnectionsWithManyServersPerGroup(t *testing.T) {
	t.Parallel()
	const groups, span = 40, 20 * time.Second
	var usualConnections, largeConnections int64
	var usualServed, largeServed int
	var both sync.WaitGroup
	both.Go(func() { usualConnections, usualServed = measureGroupsOf(t, groups, usualGroupSize, span) })
	both.Go(func() { largeConnections, largeServed = measureGroupsOf(t, groups, 16*usualGroupSize, span) })
	both.Wait()
	t.Logf("groups of %d: %d connections, %d served; of %d: %d connections, %d served",
		usualGroupSize, usualConnections, usualServed, 16*usualGroupSize, largeConnections, largeServed)
	assert.Less(t, largeConnections, 5*usualConnections/2+40)
	assert.GreaterOrEqual(t, float64(largeServed), 0.85*float64(usualServed))
}
