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

// rawMessage reads one message, including its header. The last four bytes of the header are the message's length.
func rawMessage(t *testing.T, from io.Reader, headerSize int) []byte {
	t.Helper()
	b := make([]byte, headerSize)
	_, err := io.ReadFull(from, b)
	require.NoError(t, err)
	b = append(b, make([]byte, binary.BigEndian.Uint32(b[headerSize-4:])-4)...)
	_, err = io.ReadFull(from, b[headerSize:])
	require.NoError(t, err)
	return b
}

// TestBytesSentToServers compares the messages on a server connection with recorded ones: the startup message, statements with their
// comments, and a health check. Only the timeout in the comments differs from run to run; it is masked.
func TestBytesSentToServers(t *testing.T) {
	const file = "testdata/server_messages.txt"
	h := newHarness(t, 40)
	h.DiscardEvents()
	client := h.ConnectClient()
	client.Send(pgwire.AppendQuery(nil, "SELECT data FROM facts WHERE code = 'k' /* id=r1,c=read,d=60000,cluster=2 */")...)
	conn, err := h.Upstream.Accept()
	require.NoError(t, err)
	upstream := conntest.NewPeer(t, conn)
	conntest.AssertRecorded(t, file, "startup", string(rawMessage(t, upstream, 4)))
	upstream.Send(pgwire.AppendStartupResponse(nil)...)
	timeout := regexp.MustCompile(`\bd=(\d+)`)
	for i, statement := range []string{"",
		`SELECT data  FROM facts WHERE code = 'it''s' /* id=r2,c=read,t=acme,d=60000,k=5c,cluster=2,after=17,new=1 */ ; `,
		`INSERT INTO facts (code, data) VALUES ('k', '\x00ff') RETURNING data /* id=w1,c=write,d=60000,cluster=2 */`,
	} {
		if i > 0 {
			client.Send(pgwire.AppendQuery(nil, statement)...)
			conntest.AssertRecorded(t, file, "before statements but the first", string(rawMessage(t, upstream, 5)))
			upstream.Send(pgwire.AppendEmptyQueryResponse(nil)...)
		}
		sent := rawMessage(t, upstream, 5)
		d := timeout.FindSubmatchIndex(sent)
		require.NotNil(t, d, "%q", sent)
		ms, err := strconv.Atoi(string(sent[d[2]:d[3]]))
		require.NoError(t, err)
		assert.True(t, ms >= 10000 && ms <= 59980, "%d ms: the client's timeout less 20 ms and the time that has passed", ms)
		copy(sent[d[2]:d[3]], bytes.Repeat([]byte{'#'}, d[3]-d[2]))
		conntest.AssertRecorded(t, file, fmt.Sprint("statement ", i), string(sent))
		upstream.Send(conntest.RowResponse("v")...)
		client.Expect("TDCZ")
		h.awaitIdle(1)
	}
	h.pools.Send(0, front.NewHealthCheck("SHOW load"))
	conntest.AssertRecorded(t, file, "before statements but the first", string(rawMessage(t, upstream, 5)))
	conntest.AssertRecorded(t, file, "health check", string(rawMessage(t, upstream, 5)))
}
