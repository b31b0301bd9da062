package server

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/pgwire"
	"dapplerouter/testsupport/conntest"
)

// Long messages share a memory budget. A message that exceeds the budget is rejected and may be retried. The memory of a message is
// released whether the request is answered or its connection closed.
func TestLongQueryOverMemoryLimitIsRejected(t *testing.T) {
	h := newHarness(t, 60, messageMemoryLimit(300<<10))
	h.DiscardEvents()
	h.RespondToAll()
	reserved := func() int64 { return h.server.messageMemory.Reserved() }
	long := pgwire.AppendQuery(nil, "SELECT data FROM facts WHERE code = '"+strings.Repeat("k", 200<<10)+"' /* id=long,c=read,d=4000,cluster=2 */")
	first, second, small := h.ConnectClient(), h.ConnectClient(), h.ConnectClient()
	first.Send(long[:len(long)-1]...)
	h.Eventually(func() bool { return reserved() > 200<<10 })
	second.Send(long...)
	assert.Contains(t, string(second.Expect("E")), pgwire.CodeTooManyConnections)
	second.ExpectClosed()
	small.Send(conntest.ReadQuery("4000")...)
	small.Expect("TDCZ")
	first.Send(long[len(long)-1])
	first.Expect("TDCZ")
	h.Eventually(func() bool { return reserved() == 0 })
	third := h.ConnectClient()
	third.Send(long[:len(long)-1]...)
	h.Eventually(func() bool { return reserved() > 200<<10 })
	third.Close()
	h.Eventually(func() bool { return reserved() == 0 })
}

// Malformed input ends only the connection on which it was received.
func TestMalformedInputClosesOnlyItsConnection(t *testing.T) {
	h := newHarness(t, 60)
	h.DiscardEvents()
	h.RespondToAll()
	good := h.ConnectClient()
	for i, bad := range [][]byte{
		append(pgwire.AppendStartup(nil, "portal", "crm"), 'Q', 127, 255, 255, 255),
		append(pgwire.AppendStartup(nil, "portal", "crm"), pgwire.AppendQuery(nil, "SELECT \x00 1")...),
		append(pgwire.AppendStartup(nil, "portal", "crm"), conntest.Message('Z', "I")...),
		{0, 0, 40, 0}, {0, 0, 0, 4}, bytes.Repeat([]byte{'x'}, 9000),
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			b := h.Dial()
			b.Send(bad...)
			for {
				typ, body, err := b.Reader.Next()
				if err != nil {
					require.Fail(t, "the connection was closed without an error message", err)
				}
				if typ == 'E' {
					assert.Contains(t, string(body), pgwire.CodeProtocolViolation)
					break
				}
			}
			b.ExpectClosed()
			good.Send(conntest.ReadQuery("4000")...)
			good.Expect("TDCZ")
		})
	}
}
