package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/pgwire"
)

// startLongResultServer starts a server that answers each statement with a long result. answered counts the results that were written.
func startLongResultServer(t *testing.T, answered *atomic.Int64) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	const size = 300 << 10
	row := binary.BigEndian.AppendUint32([]byte{0, 1}, size)
	answer := bytes.Join([][]byte{
		message('T', []byte("\x00\x01data\x00"+strings.Repeat("\x00", 9)+"\x11\xff\xff\xff\xff\xff\xff\x00\x01")),
		message('D', append(row, bytes.Repeat([]byte{'v'}, size)...)),
		message('C', []byte("SELECT 1\x00")),
		pgwire.AppendReadyForQuery(nil)}, nil)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerEach(c, func() []byte { return answer }, func() { answered.Add(1) })
		}
	}()
	return l.Addr().String()
}

// answerEach serves a connection: it sends the result of answer for each statement that is not empty, and calls written after each.
func answerEach(c net.Conn, answer func() []byte, written func()) {
	defer c.Close()
	r := pgwire.NewReader(c, 4096, 1<<20)
	if _, err := r.ReadStartup(); err != nil {
		return
	}
	c.Write(pgwire.AppendStartupResponse(nil))
	for {
		_, body, err := r.Next()
		if err != nil {
			return
		}
		if len(body) == 1 {
			c.Write(pgwire.AppendEmptyQueryResponse(nil)) // the next read fails if this does
			continue
		}
		if _, err := c.Write(answer()); err != nil {
			return
		}
		written()
	}
}

// message encodes a protocol message.
func message(kind byte, body []byte) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4)), body...)
}

// Guards against unbounded memory for results that wait for an earlier response of their connection. Clients pipeline requests and read
// nothing; the memory of all waiting results together must be bounded.
func TestPipelinedLongResultsStayWithinMemoryLimit(t *testing.T) {
	var answered atomic.Int64
	var entries []string
	for i, role := range strings.Fields("primary" + strings.Repeat(" replica", 11)) {
		entries = append(entries, fmt.Sprintf(`{"name":"s%d","address":%q,"zone":"a","type":"x","group":0,"status":"up","role":%q}`,
			i, startLongResultServer(t, &answered), role))
	}
	p := startWithEndpoints(t, "127.0.0.1:1", `{"index":1,"snapshot":true,"endpoints":[`+strings.Join(entries, ",")+`]}`, setting{"memory_mb", 32})
	before, peak := p.resident(), 0
	for client := range 60 {
		c, err := net.Dial("tcp", p.address)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		require.NoError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
		all := pgwire.AppendStartup(nil, "portal", "crm")
		for n := range 30 {
			all = append(all, pgwire.AppendQuery(nil, fmt.Sprintf("SELECT 'x%d' /* id=%d-%d,c=browse,d=2000,cluster=0 */", n, client, n))...)
		}
		_, err = c.Write(all)
		require.NoError(t, err)
		peak = max(peak, p.resident())
	}
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		peak = max(peak, p.resident())
	}
	t.Log("KiB resident before", before, "at most", peak, "results", answered.Load())
	assert.Greater(t, answered.Load(), int64(100), "too few results were sent")
	assert.Less(t, peak, 32<<10)
}
