package wire

import (
	"bufio"
	"encoding/hex"
	"io"
	"strconv"
	"strings"
)

// Writer writes the actions of instances as lines of text: the action's name, the instance and the action's fields, separated by tabs.
// Most of its methods correspond to those of routing.Host. The lines are buffered: they are written when the buffer of writeBuffer bytes
// is full, and at the latest by EndBatch, which also returns the first write error.
type Writer struct {
	out    *bufio.Writer
	digits []byte // buffer for formatted numbers, so that writing a line does not allocate
}

const writeBuffer = 1 << 18 // bytes

// NewWriter returns a Writer that writes to w through its own buffer. EndBatch flushes the buffer.
func NewWriter(w io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(w, writeBuffer)} }

// writeString writes a string to out. out keeps the first error, and EndBatch returns it.
func (w *Writer) writeString(s string) { _, _ = w.out.WriteString(s) }

// beginAction writes the name of an action and the instance that performs it.
func (w *Writer) beginAction(action string, instance int) {
	w.writeString(action)
	w.number("Front=front-", int64(instance))
}

// number writes a field with a number. name ends with "=".
func (w *Writer) number(name string, n int64) {
	w.writeString("\t")
	w.writeString(name)
	w.digits = strconv.AppendInt(w.digits[:0], n, 10)
	_, _ = w.out.Write(w.digits) // out keeps the error, as in writeString
}

// text writes a field with a string. name ends with "=".
func (w *Writer) text(name, v string) {
	w.writeString("\t")
	w.writeString(name)
	w.writeString(v)
}

// endLine ends the line of an action.
func (w *Writer) endLine() { w.writeString("\n") }

// StartAttempt sends a request to a server. The timeout is in nanoseconds; 0 stands for the request's own.
func (w *Writer) StartAttempt(instance int, request string, server, timeout int64) {
	w.beginAction("hand_off", instance)
	w.text("Rid=", request)
	w.number("Store=", server)
	w.number("GiveUpAfter=", timeout)
	w.endLine()
}

// CancelAttempt cancels one attempt of a request.
func (w *Writer) CancelAttempt(instance int, request string, attemptNumber int) {
	w.beginAction("revoke", instance)
	w.text("Rid=", request)
	w.number("Hop=", int64(attemptNumber))
	w.endLine()
}

// Reject ends a request with the response that a retry is safe, after retryAfter nanoseconds if that is not 0.
func (w *Writer) Reject(instance int, request string, retryAfter int64) {
	w.beginAction("decline", instance)
	w.text("Rid=", request)
	if retryAfter > 0 {
		w.number("RetryIn=", retryAfter)
	}
	w.endLine()
}

// Fail ends a request with the response that it may have run.
func (w *Writer) Fail(instance int, request string) {
	w.beginAction("lose", instance)
	w.text("Rid=", request)
	w.endLine()
}

// SetTimer requests a TimerFired event with the given token after the given number of nanoseconds.
func (w *Writer) SetTimer(instance int, after int64, token string) {
	w.beginAction("timer", instance)
	w.number("Delay=", after)
	w.text("Token=", token)
	w.endLine()
}

// StartHealthCheck sends a health check to a server.
func (w *Writer) StartHealthCheck(instance int, server int64) {
	w.beginAction("sound_out", instance)
	w.number("Store=", server)
	w.endLine()
}

// WatchEndpoints subscribes to the endpoint list, or ends the subscription.
func (w *Writer) WatchEndpoints(instance int, on bool) {
	w.beginAction("track", instance)
	n := int64(0)
	if on {
		n = 1
	}
	w.number("On=", n)
	w.endLine()
}

// FetchEndpoints requests the whole endpoint list.
func (w *Writer) FetchEndpoints(instance int) {
	w.beginAction("query_all", instance)
	w.endLine()
}

// SendGossip sends a message to a peer, or to all peers if peer is negative.
func (w *Writer) SendGossip(instance, peer int, message []byte) {
	w.beginAction("write_peer", instance)
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
	w.endLine()
}

// oneLine replaces the characters that separate fields or lines by spaces.
var oneLine = strings.NewReplacer("\n", " ", "\r", " ", "\t", " ")

// Log adds a message to the bench's report.
func (w *Writer) Log(instance int, message string) {
	w.beginAction("note_down", instance)
	w.text("Msg=", oneLine.Replace(message))
	w.endLine()
}

// Panic reports a panic of the router.
func (w *Writer) Panic(instance int, message string) {
	w.beginAction("panic", instance)
	w.text("Msg=", oneLine.Replace(message))
	w.endLine()
}

// EndBatch acknowledges a batch and flushes the actions. It returns the first error of any write.
func (w *Writer) EndBatch(batch string) error {
	w.writeString("ack")
	w.text("batch=", batch)
	w.endLine()
	return w.out.Flush()
}
