package wire

import (
	"bufio"
	"encoding/hex"
	"io"
	"strconv"
	"strings"
)

// Writer writes actions. Done ends a reply and flushes it.
type Writer struct {
	w   *bufio.Writer
	num []byte
}

// NewWriter returns a Writer to w.
func NewWriter(w io.Writer) *Writer { return &Writer{w: bufio.NewWriterSize(w, 1<<18)} }

func (w *Writer) begin(name string, front int) {
	w.w.WriteString(name)
	w.number("Front=front-", int64(front))
}

func (w *Writer) number(name string, n int64) {
	w.w.WriteByte('\t')
	w.w.WriteString(name)
	w.num = strconv.AppendInt(w.num[:0], n, 10)
	w.w.Write(w.num)
}

func (w *Writer) text(name, v string) {
	w.w.WriteByte('\t')
	w.w.WriteString(name)
	w.w.WriteString(v)
}

func (w *Writer) end() { w.w.WriteByte('\n') }

// HandOff sends rid to store.
func (w *Writer) HandOff(front int, rid string, store, giveUpAfter int64) {
	w.begin("hand_off", front)
	w.text("Rid=", rid)
	w.number("Store=", store)
	w.number("GiveUpAfter=", giveUpAfter)
	w.end()
}

// Cancel abandons the wait for one attempt.
func (w *Writer) Cancel(front int, rid string, hop int) {
	w.begin("revoke", front)
	w.text("Rid=", rid)
	w.number("Hop=", int64(hop))
	w.end()
}

// Reject is the final answer that makes trying again harmless.
func (w *Writer) Reject(front int, rid string, retryIn int64) {
	w.begin("decline", front)
	w.text("Rid=", rid)
	if retryIn > 0 {
		w.number("RetryIn=", retryIn)
	}
	w.end()
}

// Lose is the final answer that promises nothing.
func (w *Writer) Lose(front int, rid string) {
	w.begin("lose", front)
	w.text("Rid=", rid)
	w.end()
}

// Timer asks for an alarm.
func (w *Writer) Timer(front int, delay int64, token string) {
	w.begin("timer", front)
	w.number("Delay=", delay)
	w.text("Token=", token)
	w.end()
}

// SoundOut probes store.
func (w *Writer) SoundOut(front int, store int64) {
	w.begin("sound_out", front)
	w.number("Store=", store)
	w.end()
}

// Track subscribes to the list, or ends it.
func (w *Writer) Track(front int, on bool) {
	w.begin("track", front)
	n := int64(0)
	if on {
		n = 1
	}
	w.number("On=", n)
	w.end()
}

// QueryAll asks for the whole list.
func (w *Writer) QueryAll(front int) {
	w.begin("query_all", front)
	w.end()
}

// WritePeer sends a message; peer -1 is every peer.
func (w *Writer) WritePeer(front, peer int, contents []byte) {
	w.begin("write_peer", front)
	if peer < 0 {
		w.text("Recipient=", "*")
	} else {
		w.number("Recipient=", int64(peer))
	}
	v := "-"
	if len(contents) > 0 {
		v = hex.EncodeToString(contents)
	}
	w.text("Contents=", v)
	w.end()
}

var oneLine = strings.NewReplacer("\n", " ", "\r", " ", "\t", " ")

// NoteDown adds a line to the report.
func (w *Writer) NoteDown(front int, msg string) {
	w.begin("note_down", front)
	w.text("Msg=", oneLine.Replace(msg))
	w.end()
}

// Panic declares that the decision code has failed.
func (w *Writer) Panic(front int, msg string) {
	w.begin("panic", front)
	w.text("Msg=", oneLine.Replace(msg))
	w.end()
}

// Done ends the reply to a batch.
func (w *Writer) Done(batch string) error {
	w.w.WriteString("ack")
	w.text("batch=", batch)
	w.end()
	return w.w.Flush()
}
