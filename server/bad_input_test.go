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

// Long messages share a part of the memory. One that exceeds it is rejected and may be retried; the memory is released however its
// connection ends.
func TestLongQueryOverMemoryLimitIsRejected(t *testing.T) {
	g := newHarness(t, 60, bodyLimit(300<<10))
	g.DiscardEvents()
	g.AnswerAll()
	held := func() int64 { return g.server.bodies.Reserved() }
	long := pgwire.AppendQuery(nil, "SELECT data FROM facts WHERE code = '"+strings.Repeat("k", 200<<10)+"' /* id=long,c=read,d=4000,cluster=2 */")
	first, second, small := g.Client(), g.Client(), g.Client()
	first.Send(long[:len(long)-1]...)
	g.Eventually(func() bool { return held() > 200<<10 })
	second.Send(long...)
	assert.Contains(t, string(second.Expect("E")), pgwire.CodeTooManyConnections)
	second.ExpectClosed()
	small.Send(conntest.ReadQuery("4000")...)
	small.Expect("TDCZ")
	first.Send(long[len(long)-1])
	first.Expect("TDCZ")
	g.Eventually(func() bool { return held() == 0 })
	third := g.Client()
	third.Send(long[:len(long)-1]...)
	g.Eventually(func() bool { return held() > 200<<10 })
	third.Close()
	g.Eventually(func() bool { return held() == 0 })
}

// Malformed input ends its own connection only.
func TestMalformedInputClosesOnlyItsConnection(t *testing.T) {
	g := newHarness(t, 60)
	g.DiscardEvents()
	g.AnswerAll()
	good := g.Client()
	for i, bad := range [][]byte{
		append(pgwire.AppendStartup(nil, "portal", "crm"), 'Q', 127, 255, 255, 255),
		append(pgwire.AppendStartup(nil, "portal", "crm"), pgwire.AppendQuery(nil, "SELECT \x00 1")...),
		append(pgwire.AppendStartup(nil, "portal", "crm"), conntest.Message('Z', "I")...),
		{0, 0, 40, 0}, {0, 0, 0, 4}, bytes.Repeat([]byte{'x'}, 9000),
	} {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			b := g.Dial()
			b.Send(bad...)
			for {
				typ, body, err := b.Reader.Next()
				if err != nil {
					require.Fail(t, "the connection ends without an error", err)
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
