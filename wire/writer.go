package wire

import (
	"bufio"
	"encoding/hex"
	"io"
	"strconv"
	"strings"
)

// Writer writes actions, named by the methods of routing.Host. EndBatch ends the reply to a batch, flushes it, and returns
// the first error of any write.
type Writer struct {
	out    *bufio.Writer
	digits []byte // of the latest number, kept so that a line allocates nothing
}

const writeBuffer = 1 << 18

// NewWriter returns a Writer to w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(w, writeBuffer)} }

// put writes a string. Its error stays with out, whose Flush in EndBatch returns it.
func (w *Writer) put(s string) { _, _ = w.out.WriteString(s) }

func (w *Writer) begin(action string, instance int) {
	w.put(action)
	w.number("Front=front-", int64(instance))
}

func (w *Writer) number(name string, n int64) {
	w.put("\t")
	w.put(name)
	w.digits = strconv.AppendInt(w.digits[:0], n, 10)
	_, _ = w.out.Write(w.digits) // as put
}

func (w *Writer) text(name, v string) {
	w.put("\t")
	w.put(name)
	w.put(v)
}

func (w *Writer) end() { w.put("\n") }

// StartAttempt sends a request to a server, with a timeout in nanoseconds.
func (w *Writer) StartAttempt(instance int, request string, server, timeout int64) {
	w.begin("hand_off", instance)
	w.text("Rid=", request)
	w.number("Store=", server)
	w.number("GiveUpAfter=", timeout)
	w.end()
}

// CancelAttempt cancels one attempt of a request.
func (w *Writer) CancelAttempt(instance int, request string, attemptNumber int) {
	w.begin("revoke", instance)
	w.text("Rid=", request)
	w.number("Hop=", int64(attemptNumber))
	w.end()
}

// Reject ends a request: a retry is safe, after retryAfter nanoseconds where that is not 0.
func (w *Writer) Reject(instance int, request string, retryAfter int64) {
	w.begin("decline", instance)
	w.text("Rid=", request)
	if retryAfter > 0 {
		w.number("RetryIn=", retryAfter)
	}
	w.end()
}

// Fail ends a request that may have run.
func (w *Writer) Fail(instance int, request string) {
	w.begin("lose", instance)
	w.text("Rid=", request)
	w.end()
}

// SetTimer asks for a TimerFired event with the token after some nanoseconds.
func (w *Writer) SetTimer(instance int, after int64, token string) {
	w.begin("timer", instance)
	w.number("Delay=", after)
	w.text("Token=", token)
	w.end()
}

// StartHealthCheck sends a health check to a server.
func (w *Writer) StartHealthCheck(instance int, server int64) {
	w.begin("sound_out", instance)
	w.number("Store=", server)
	w.end()
}

// WatchEndpoints subscribes to the endpoint list, or ends the subscription.
func (w *Writer) WatchEndpoints(instance int, on bool) {
	w.begin("track", instance)
	n := int64(0)
	if on {
		n = 1
	}
	w.number("On=", n)
	w.end()
}

// FetchEndpoints asks for the whole endpoint list.
func (w *Writer) FetchEndpoints(instance int) {
	w.begin("query_all", instance)
	w.end()
}

// SendGossip sends a message to a peer, to every peer where it is negative.
func (w *Writer) SendGossip(instance, peer int, message []byte) {
	w.begin("write_peer", instance)
	if peer < 0 {
		w.text("Recipient=", "*")
	} else {
		w.number("Recipient=", int64(peer))
	}
	v := "-"
	if len(message) > 0 {
		v = hex.EncodeToString(message)
	}
	w.text("Contents=", v)
	w.end()
}

// oneLine replaces what would end a part or a line.
var oneLine = strings.NewReplacer("\n", " ", "\r", " ", "\t", " ")

// Log adds a line to the bench's report.
func (w *Writer) Log(instance int, message string) {
	w.begin("note_down", instance)
	w.text("Msg=", oneLine.Replace(message))
	w.end()
}

// Panic reports a panic of the router.
func (w *Writer) Panic(instance int, message string) {
	w.begin("panic", instance)
	w.text("Msg=", oneLine.Replace(message))
	w.end()
}

// EndBatch ends the reply to a batch and flushes it.
func (w *Writer) EndBatch(batch string) error {
	w.put("ack")
	w.text("batch=", batch)
	w.end()
	return w.out.Flush()
}
