package upstream

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/front"
	"dapplerouter/pgwire"
	"dapplerouter/testsupport/conntest"
)

// rawMessage reads one message as it came, with its head, whose last four bytes are the message's length.
func rawMessage(t *testing.T, from io.Reader, head int) []byte {
	t.Helper()
	b := make([]byte, head)
	_, err := io.ReadFull(from, b)
	require.NoError(t, err)
	b = append(b, make([]byte, binary.BigEndian.Uint32(b[head-4:])-4)...)
	_, err = io.ReadFull(from, b[head:])
	require.NoError(t, err)
	return b
}

// TestBytesSentToServers compares what a server's connection carries: the startup message, statements with their comment, whose
// deadline is the only part that differs from run to run, and a probe.
func TestBytesSentToServers(t *testing.T) {
	const file = "testdata/server_messages.txt"
	g := newHarness(t, 40)
	g.DiscardEvents()
	c := g.Client()
	c.Send(pgwire.AppendQuery(nil, "SELECT data FROM facts WHERE code = 'k' /* id=r1,c=read,d=60000,cluster=2 */")...)
	conn, err := g.Upstream.Accept()
	require.NoError(t, err)
	m := conntest.NewPeer(t, conn)
	conntest.AssertRecorded(t, file, "startup", string(rawMessage(t, m, 4)))
	m.Send(pgwire.AppendGreeting(nil)...)
	deadline := regexp.MustCompile(`\bd=(\d+)`)
	for i, statement := range []string{"",
		`SELECT data  FROM facts WHERE code = 'it''s' /* id=r2,c=read,t=acme,d=60000,k=5c,cluster=2,after=17,new=1 */ ; `,
		`INSERT INTO facts (code, data) VALUES ('k', '\x00ff') RETURNING data /* id=w1,c=write,d=60000,cluster=2 */`,
	} {
		if i > 0 {
			c.Send(pgwire.AppendQuery(nil, statement)...)
		}
		sent := rawMessage(t, m, 5)
		d := deadline.FindSubmatchIndex(sent)
		require.NotNil(t, d, "%q", sent)
		ms, err := strconv.Atoi(string(sent[d[2]:d[3]]))
		require.NoError(t, err)
		assert.True(t, ms >= 10000 && ms <= 59980, "%d ms: 20 ms less than the client's, and what passed meanwhile", ms)
		copy(sent[d[2]:d[3]], bytes.Repeat([]byte{'#'}, d[3]-d[2]))
		conntest.AssertRecorded(t, file, fmt.Sprint("statement ", i), string(sent))
		m.Send(conntest.RowResponse("v")...)
		c.Expect("TDCZ")
		g.settled(1)
	}
	g.pools.Send(0, front.NewHealthCheck(pgwire.AppendQuery(nil, "SHOW load")))
	conntest.AssertRecorded(t, file, "probe", string(rawMessage(t, m, 5)))
}
