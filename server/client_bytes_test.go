package server

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplerouter/front"
	"dapplerouter/pgwire"
	"dapplerouter/testsupport/conntest"
)

// terminate is the message with which a client ends its connection. The server closes the connection after all earlier answers.
var terminate = conntest.Message(pgwire.TypeTerminate, "")

// TestBytesSentToClients compares all bytes that a client receives on a connection with the recorded ones.
func TestBytesSentToClients(t *testing.T) {
	hello := pgwire.AppendStartup(nil, "portal", "crm")
	sends := func(parts ...[]byte) func(*harness) *conntest.Peer {
		return func(h *harness) *conntest.Peer {
			c := h.Dial()
			c.Send(bytes.Join(parts, nil)...)
			return c
		}
	}
	query := func(statement string) []byte { return pgwire.AppendQuery(nil, statement) }
	for name, session := range map[string]func(*harness) *conntest.Peer{
		"encryption, greeting": sends([]byte{0, 0, 0, 8, 4, 210, 22, 47}, hello, terminate),
		"cancel request":       sends([]byte{0, 0, 0, 16, 4, 210, 22, 46}, make([]byte, 8)),
		"startup too short":    sends([]byte{0, 0, 0, 3, 1}),
		"startup of 2 GB":      sends([]byte{127, 0, 0, 0}),
		"other protocol":       sends([]byte{0, 0, 0, 8, 0, 2, 0, 0}),
		"empty query":          sends(hello, query(""), terminate),
		"extended protocol":    sends(hello, conntest.Message('P', "x"), conntest.Message('B', "x"), conntest.Message('S', ""), terminate),
		"flush":                sends(hello, conntest.Message('H', ""), terminate),
		"unknown message":      sends(hello, conntest.Message('?', "")),
		"query of 60 MB":       sends(hello, []byte{'Q', 3, 147, 135, 0, 'S'}),
		"negative length":      sends(hello, []byte{'Q', 255, 255, 255, 0, 'S'}),
		"no comment":           sends(hello, query("SELECT 1"), terminate),
		"no deadline":          sends(hello, query("SELECT data FROM facts WHERE code = 'k' /* id=1,c=read,cluster=2 */"), terminate),
		"deadline of 0":        sends(hello, query("SELECT data FROM facts WHERE code = 'k' /* id=1,c=read,d=0,cluster=2 */"), terminate),
		"unknown type":         sends(hello, query("SELECT data FROM facts WHERE code = 'k' /* id=1,c=other,d=60000,cluster=2 */"), terminate),
		"type of a write":      sends(hello, query("SELECT data FROM facts WHERE code = 'k' /* id=1,c=write,d=60000,cluster=2 */"), terminate),
		"unknown group":        sends(hello, query("SELECT data FROM facts WHERE code = 'k' /* id=1,c=read,d=60000,cluster=77 */"), terminate),
		"no request":           sends(hello),
		"served": func(h *harness) *conntest.Peer {
			c := sends(hello, conntest.ReadQuery("60000"))(h)
			upstream := h.AcceptServer()
			upstream.Expect("Q")
			upstream.Send(conntest.RowResponse("a value")...)
			c.Send(terminate...)
			return c
		},
		"failed": func(h *harness) *conntest.Peer {
			c := sends(hello, conntest.ReadQuery("60000"))(h)
			upstream := h.AcceptServer()
			upstream.Expect("Q")
			upstream.Close()
			c.Send(terminate...)
			return c
		},
		"request after a shutdown": func(h *harness) *conntest.Peer {
			h.Core.Post(front.Shutdown{})
			return sends(hello, conntest.ReadQuery("60000"), terminate)(h)
		},
		"first request after draining": func(h *harness) *conntest.Peer {
			c := sends(hello)(h)
			h.Eventually(func() bool { clients, _, _ := h.Limiter.InUse(); return clients == 1 })
			h.drainUntilRejecting()
			c.Send(conntest.ReadQuery("60000")...)
			return c
		},
		"new connection on standby": func(h *harness) *conntest.Peer {
			h.server.SetStandby(true, 0)
			return sends(hello, conntest.ReadQuery("60000"))(h)
		},
		"evicted before its first request": func(h *harness) *conntest.Peer {
			c := sends(hello)(h)
			h.awaitIdleClient()
			h.Eventually(h.server.evictIdle)
			return c
		},
		"long message over the memory limit": func(h *harness) *conntest.Peer {
			return sends(hello, query(strings.Repeat(" ", 200<<10)))(h)
		},
		"panic": func(h *harness) *conntest.Peer {
			h.server.SetParser(func([]byte) (pgwire.Statement, error) { panic("injected fault") })
			return sends(hello, conntest.ReadQuery("60000"))(h)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var configure []func(*Server)
			if name == "long message over the memory limit" {
				configure = append(configure, messageMemoryLimit(100<<10))
			}
			h := newHarness(t, 40, configure...)
			h.DiscardEvents()
			c := session(h)
			sent, err := io.ReadAll(c.Conn)
			require.NoError(t, err)
			conntest.AssertRecorded(t, "testdata/client_sessions.txt", name, string(sent))
		})
	}
}

// TestBytesOfAResponse compares the bytes that a client receives for each kind of response with the recorded ones.
func TestBytesOfAResponse(t *testing.T) {
	for name, r := range map[string]front.Response{
		"response served":                   {Status: front.StatusSucceeded, Rows: conntest.Row("v")},
		"response rejected":                 {Status: front.StatusRejected},
		"response rejected with retry time": {Status: front.StatusRejected, RetryAfter: 1500*time.Millisecond + 1},
		"response rejected, may have run":   {Status: front.StatusRejected, MayHaveRun: true},
		"response failed":                   {Status: front.StatusFailed},
		"response invalid":                  {Status: front.StatusInvalid, Code: pgwire.CodeInvalidParameterValue, Reason: "a reason"},
		"response without rows for a read":  responseWithoutRows(false),
		"response without rows for a write": responseWithoutRows(true),
	} {
		conntest.AssertRecorded(t, "testdata/client_sessions.txt", name, string(encode(&r)))
	}
}
