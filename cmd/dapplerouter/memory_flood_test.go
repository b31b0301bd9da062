package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/pgwire"
	"dapplerouter/testsupport/fakeserver"
)

// Guards against a front that the platform kills for exceeding its memory. Many clients each send most of a message of nearly the maximum
// length, or all of it while the server hangs.
func TestFloodOfLongMessagesStaysWithinMemoryLimit(t *testing.T) {
	insert := func(n int) string {
		return fmt.Sprintf(`INSERT INTO facts (code, data) VALUES ('k', '\x%s') RETURNING data /* id=%d,c=pay,d=8000,cluster=0 */`, strings.Repeat("0", 250<<10), n)
	}
	for name, message := range map[string]func(n int) []byte{
		"most of the message": func(n int) []byte { return pgwire.AppendQuery(nil, insert(n))[:250<<10] },
		"the whole message":   func(n int) []byte { return pgwire.AppendQuery(nil, insert(n)) },
	} {
		t.Run(name, func(t *testing.T) {
			g := startGroup(t, 1)
			p := startWithStaticList(t, g, 8*time.Second, setting{"memory_mb", 32})
			g.Servers[0].Hang(true)
			before, peak := p.resident(), 0
			for n := range 180 {
				c, err := net.Dial("tcp", p.address)
				require.NoError(t, err)
				t.Cleanup(func() { c.Close() })
				c.SetDeadline(time.Now().Add(5 * time.Second))
				c.Write(append(pgwire.AppendStartup(nil, "portal", "crm"), message(n)...)) // the front may close the connection during the write
				peak = max(peak, p.resident())
			}
			t.Log("KiB resident before", before, "at most", peak)
			assert.Less(t, peak, 32<<10)
			g.Servers[0].Hang(false)
			require.Eventually(t, func() bool { // the front may reject requests at first
				c, err := fakeserver.Dial(p.address)
				if err != nil {
					return false
				}
				defer c.Close()
				a, err := c.Query(readStatement("good", 900))
				return err == nil && a.Code == ""
			}, 20*time.Second, 50*time.Millisecond)
		})
	}
}

// startEndlessServer starts a server that answers with a result of nearly the maximum length that it never completes.
func startEndlessServer(t *testing.T) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	columns := "\x00\x01data\x00" + strings.Repeat("\x00", 9) + "\x11\xff\xff\xff\xff\xff\xff\x00\x01"
	const size = 500 << 10
	answer := append(binary.BigEndian.AppendUint32([]byte{'T'}, uint32(len(columns)+4)), columns...)
	answer = append(binary.BigEndian.AppendUint32(append(answer, 'D'), size+10), 0, 1)
	answer = append(binary.BigEndian.AppendUint32(answer, size), strings.Repeat("v", size-1)...)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				r := pgwire.NewReader(c, 4096, 1<<20)
				if _, err := r.ReadStartup(); err != nil {
					return
				}
				c.Write(pgwire.AppendStartupResponse(nil))
				if _, _, err := r.Next(); err == nil {
					c.Write(answer)
					r.Next() // until the front closes the connection
				}
				c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a limit on each result only: the memory of all incomplete results of servers together must be bounded too.
func TestFloodOfLongResultsStaysWithinMemoryLimit(t *testing.T) {
	var entries []string
	for i, role := range strings.Fields("primary" + strings.Repeat(" replica", 11)) {
		entries = append(entries, fmt.Sprintf(`{"name":"s%d","address":%q,"zone":"a","type":"x","group":0,"status":"up","role":%q}`, i, startEndlessServer(t), role))
	}
	p := startWithEndpoints(t, "127.0.0.1:1", `{"index":1,"snapshot":true,"endpoints":[`+strings.Join(entries, ",")+`]}`, setting{"memory_mb", 32})
	before, peak := p.resident(), 0
	var clients sync.WaitGroup
	for n := range 180 {
		c, err := fakeserver.Dial(p.address)
		require.NoError(t, err)
		clients.Go(func() {
			defer c.Close()
			c.Query(readStatement(fmt.Sprintf("%d", n), 2000))
		})
		peak = max(peak, p.resident())
	}
	all := make(chan struct{})
	go func() { clients.Wait(); close(all) }()
	for waiting := true; waiting; {
		select {
		case <-all:
			waiting = false
		case <-time.After(10 * time.Millisecond):
			peak = max(peak, p.resident())
		}
	}
	t.Log("KiB resident before", before, "at most", peak)
	assert.Less(t, peak, 32<<10)
}
