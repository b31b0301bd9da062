package pgwire

import (
	"bytes"
	"testing"
	"time"
)

func BenchmarkParseStatement(b *testing.B) {
	body := []byte(readStatement + "\x00")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ParseStatement(body); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkStatementWithNewTimeout(b *testing.B) {
	s, err := statement(readStatement)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		q := s.QueryWithTimeout(480 * time.Millisecond)
		q.ShortenTimeout(99 * time.Millisecond)
	}
}

func BenchmarkReadOneRow(b *testing.B) {
	text := bytes.Join([][]byte{frame('T', rowDescription), frame('D', "\x00\x01\x00\x00\x00\x02hi"), frame('C', "SELECT 1\x00"), readyForQuery}, nil)
	in := bytes.NewReader(text)
	r := NewReader(in, 4<<10, 1<<20)
	b.ReportAllocs()
	for b.Loop() {
		in.Reset(text)
		var result QueryResult
		r.CheckMessage = result.CheckMessage
		for done := false; !done; {
			typ, body, err := r.Next()
			if err != nil {
				b.Fatal(err)
			}
			if done, err = result.AddMessage(typ, body); err != nil {
				b.Fatal(err)
			}
		}
	}
}
