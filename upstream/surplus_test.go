package upstream

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"dapplerouter/front"
	"dapplerouter/pgwire"
	"dapplerouter/routing"
	"dapplerouter/testsupport/conntest"
)

// surplusResponses are what a server may still send of an earlier result when the next statement reaches it.
var surplusResponses = map[string][]byte{
	"a second copy of a result":        conntest.RowResponse("first"),
	"a load report":                    conntest.RowResponse("inflight=0"),
	"an error that promises no effect": pgwire.AppendReadyForQuery(pgwire.AppendErrorResponse(nil, pgwire.ErrorResponse{Severity: "ERROR", Code: pgwire.CodeTooManyConnections, Message: "full"})),
	"a fatal error":                    pgwire.AppendErrorResponse(nil, pgwire.ErrorResponse{Severity: "FATAL", Code: pgwire.CodeTooManyConnections, Message: "full"}),
	"a response to an empty query":     pgwire.AppendEmptyQueryResponse(nil),
	"the end of a response":            pgwire.AppendReadyForQuery(nil),
	"a part of a row":                  conntest.Row("first")[:20],
	"noise":                            []byte("zzzz\x00"),
}

// forEachSurplus runs a test for each kind of surplus, with and without AllowAnyResult. The connection to the fake server has carried one
// request and is idle. upstream is its other end.
func forEachSurplus(t *testing.T, test func(t *testing.T, h *harness, client, upstream *conntest.Peer, surplus []byte)) {
	for name, surplus := range surplusResponses {
		for _, anyResult := range []bool{false, true} {
			t.Run(name+map[bool]string{false: "", true: ", any result"}[anyResult], func(t *testing.T) {
				h := newHarness(t, 40)
				h.pools.anyResult = anyResult
				client, upstream := h.serve()
				test(t, h, client, upstream, surplus)
			})
		}
	}
}

// respondBehind answers the messages of a reused connection, with the surplus of an earlier result before the responses. The front may
// close the connection meanwhile.
func respondBehind(surplus []byte, upstream *conntest.Peer) {
	upstream.Expect("Q") // the surplus leaves after the next statement has left the front
	_, _ = upstream.Write(surplus)
	_, _ = upstream.Write(pgwire.AppendEmptyQueryResponse(nil))
	_, _ = upstream.Write(conntest.RowResponse("second"))
}

// Guards against a client that is served another request's value: a second copy of a result came after the next statement was written, and
// was taken for the result of that statement.
func TestSurplusInTransitIsNotTakenForNextResult(t *testing.T) {
	forEachSurplus(t, func(t *testing.T, h *harness, client, upstream *conntest.Peer, surplus []byte) {
		client.Send(conntest.ReadQuery("4000")...)
		respondBehind(surplus, upstream)
		assert.Contains(t, string(client.Expect("EZ")), pgwire.CodeTransactionRollback, "no value of an earlier request")
		assert.Equal(t, routing.ServerError, (<-h.Router.Finished).Result, "the statement may have run")
		h.awaitIdle(0)
		client.Send(conntest.ReadQuery("4000")...)
		upstream = h.AcceptServer()
		upstream.Expect("Q")
		upstream.Send(conntest.RowResponse("third")...)
		client.Expect("T")
		assert.Equal(t, "third", string(client.Expect("D")[6:]))
	})
}

// Guards against a load report that is read from another request's row, since health checks share the connections.
func TestSurplusInTransitIsNotTakenForLoadReport(t *testing.T) {
	forEachSurplus(t, func(t *testing.T, h *harness, _, upstream *conntest.Peer, surplus []byte) {
		finished := make(chan *front.AttemptFinished, 1)
		h.pools.options.Post = func(e front.Event) { finished <- e.(*front.AttemptFinished) }
		h.pools.Send(0, front.NewHealthCheck("SHOW load"))
		respondBehind(surplus, upstream)
		e := <-finished
		if assert.NotNil(t, e.Err, "%q", e.Result.Rows) {
			assert.Equal(t, front.StageDecode, e.Err.Stage)
		}
	})
}

// Notices and parameters may come at any time, also between the response to the empty query and its end.
func TestAsynchronousMessagesBeforeResultAreAllowed(t *testing.T) {
	h := newHarness(t, 40)
	client, upstream := h.serve()
	client.Send(conntest.ReadQuery("4000")...)
	upstream.Expect("Q")
	parameter := pgwire.AppendParameterStatus(nil, "application_name", "x")
	upstream.Send(parameter...)
	upstream.Send(conntest.Message('I', "")...)
	upstream.Send(conntest.Message('N', "SNOTICE\x00\x00")...)
	upstream.Send(pgwire.AppendReadyForQuery(parameter)...)
	upstream.Expect("Q")
	upstream.Send(conntest.RowResponse("second")...)
	client.Expect("T")
	assert.Equal(t, "second", string(client.Expect("D")[6:]))
}
