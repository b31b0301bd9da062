package pgwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const read = "SELECT data FROM facts WHERE code = '7f3a' /* id=9b1f,c=basket,t=acme,d=480,cluster=2,after=17,new=1 */"

func frame(typ byte, body string) []byte {
	return appendMessage(nil, typ, func(b []byte) []byte { return append(b, body...) })
}

func statement(text string) (Statement, error) { return ParseStatement([]byte(text + "\x00")) }

func TestForwardedStatementDiffersInItsTimeoutOnly(t *testing.T) {
	s, err := statement(read)
	require.NoError(t, err)
	assert.Equal(t, []string{"7f3a", "9b1f", "basket", "acme"},
		[]string{string(s.Key), string(s.ID), string(s.RequestType), string(s.Customer)})
	assert.Equal(t, int64(2), s.Group)
	assert.Equal(t, int64(17), s.After)
	assert.Equal(t, 480*time.Millisecond, s.Timeout)
	assert.False(t, s.Write || s.Retry)
	want := strings.Replace(read, "d=480", "d=1480", 1) + "\x00"
	assert.Equal(t, "Q"+string(binary.BigEndian.AppendUint32(nil, uint32(len(want)+4)))+want,
		string(s.Query(1479500*time.Microsecond)))
}

func TestForwardedWriteKeepsItsCommentAndQuotes(t *testing.T) {
	s, err := statement(`insert INTO facts (code, data) VALUES ('it''s; /* x', '\x9f') /* id=7,d = 5 ,c=o,r=1,k=5c,cluster=-3 */;`)
	require.NoError(t, err)
	assert.True(t, s.Write && s.Retry)
	assert.Equal(t, "it''s; /* x", string(s.Key))
	assert.Equal(t, int64(-3), s.Group)
	assert.Contains(t, string(s.Query(time.Microsecond)), "d = 1 ,c=o,r=1,k=5c")
}

func TestInvalidStatementsHaveTheirErrorCode(t *testing.T) {
	for text, code := range map[string]string{
		strings.Replace(read, "/*", "", 1):                CodeSyntaxError,
		strings.Replace(read, "*/", "", 1):                CodeSyntaxError,
		strings.Replace(read, "'7f3a'", "'7f3a", 1):       CodeSyntaxError,
		strings.Replace(read, "'7f3a'", "7", 1):           CodeSyntaxError,
		read + "; SELECT 2":                               CodeSyntaxError,
		strings.Replace(read, "cluster=2", "cluster=", 1): CodeInvalidParameterValue,
		strings.Replace(read, "cluster=2", "", 1):         CodeInvalidParameterValue,
		strings.Replace(read, "c=basket", "", 1):          CodeInvalidParameterValue,
		strings.Replace(read, "id=9b1f", "id=", 1):        CodeInvalidParameterValue,
		strings.Replace(read, "id=9b1f", "", 1):           CodeInvalidParameterValue,
		strings.Replace(read, "d=480", "d=0", 1):          CodeInvalidParameterValue,
		strings.Replace(read, "d=480", "d=-4", 1):         CodeInvalidParameterValue,
		strings.Replace(read, "d=480", "d", 1):            CodeInvalidParameterValue,
		strings.Replace(read, "d=480", "", 1):             CodeInvalidParameterValue,
		strings.Replace(read, "d=480", "d=4294967295", 1): CodeInvalidParameterValue,
		strings.Replace(read, "SELECT", "DELETE", 1):      CodeFeatureNotSupported,
	} {
		_, err := statement(text)
		var m *StatementError
		require.ErrorAs(t, err, &m, text)
		assert.Equal(t, code, m.Code, text)
	}
	for _, text := range []string{"", " ;; ", "/* nothing */"} {
		s, err := statement(text)
		assert.True(t, s.Empty && err == nil, text)
	}
	for _, body := range []string{"", "SELECT", "SEL\x00ECT\x00"} {
		_, err := ParseStatement([]byte(body))
		assert.True(t, IsProtocolError(err), body)
	}
}

func TestReadResumesAfterADeadline(t *testing.T) {
	big := strings.Repeat("x", 5000)
	data := append(frame('Q', "one\x00"), frame('D', big)...)
	parts := make([]io.Reader, 0)
	for i := 0; i < len(data); i += 700 {
		parts = append(parts, bytes.NewReader(data[i:min(i+700, len(data))]),
			io.LimitReader(iotest.ErrReader(os.ErrDeadlineExceeded), 1))
	}
	r := NewReader(&sequence{parts}, 64, 1<<16)
	var got []string
	for tries := 0; len(got) < 2 && tries < 100; tries++ {
		typ, body, err := r.Next()
		if err == nil {
			got = append(got, string(typ)+string(body))
			continue
		}
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	}
	assert.Equal(t, []string{"Qone\x00", "D" + big}, got)
}

// sequence reads its parts in turn; an error ends one part only.
type sequence struct{ parts []io.Reader }

func (s *sequence) Read(b []byte) (int, error) {
	for len(s.parts) > 0 {
		n, err := s.parts[0].Read(b)
		if n > 0 {
			return n, nil
		}
		s.parts = s.parts[1:]
		if !errors.Is(err, io.EOF) {
			return 0, err
		}
	}
	return 0, io.EOF
}

func TestLengthInAHeaderAllocatesNothing(t *testing.T) {
	for _, head := range []string{"Q\x00\x00\x00\x03", "Q\xff\xff\xff\xff", "Q\x00\x10\x00\x00"} {
		_, _, err := NewReader(strings.NewReader(head), 64, 1<<16).Next()
		assert.True(t, IsProtocolError(err), "%q", head)
	}
	r := NewReader(strings.NewReader("Q\x00\x01\x00\x00abc"), 64, 1<<16)
	_, _, err := r.Next()
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.LessOrEqual(t, cap(r.body), 512)
}

func TestReadStartup(t *testing.T) {
	first := func(b []byte) (Startup, error) { return NewReader(bytes.NewReader(b), 64, 1<<16).ReadStartup() }
	s, err := first(AppendStartup(nil, "portal", "crm"))
	require.NoError(t, err)
	assert.False(t, s.CancelRequest || s.EncryptionRequest)
	s, err = first([]byte{0, 0, 0, 8, 4, 210, 22, 47})
	assert.True(t, err == nil && s.EncryptionRequest)
	s, err = first([]byte{0, 0, 0, 8, 4, 210, 22, 48})
	assert.True(t, err == nil && s.EncryptionRequest)
	s, err = first(append([]byte{0, 0, 0, 16, 4, 210, 22, 46}, make([]byte, 8)...))
	assert.True(t, err == nil && s.CancelRequest)
	for _, bad := range []string{"\x00\x00\x00\x02", "\x00\x00\x00\x06ab", "\x7f\x00\x00\x00", "\x00\x00\x00\x08\x00\x02\x00\x00",
		"\x00\x00\x00\x0a\x00\x03\x00\x00ab"} {
		_, err := first([]byte(bad))
		assert.True(t, IsProtocolError(err), "%q", bad)
	}
}

const described = "\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"

func feed(parts ...[]byte) (a *QueryResult, done bool, err error) {
	a = &QueryResult{}
	r := NewReader(bytes.NewReader(bytes.Join(parts, nil)), 64, 1<<16)
	r.CheckMessage = a.CheckMessage
	for err == nil && !done {
		var typ byte
		var body []byte
		if typ, body, err = r.Next(); err == nil {
			done, err = a.AddMessage(typ, body)
		}
	}
	return a, done, err
}

func TestQueryResultWithRowAndServerParameters(t *testing.T) {
	row := [][]byte{frame('T', described), frame('D', "\x00\x01\x00\x00\x00\x02hi"), frame('C', "SELECT 1\x00")}
	all := append(append([][]byte{}, row...), AppendParameterStatus(nil, "role", "replica"), AppendParameterStatus(nil, "applied_ms", "1767225600123"),
		AppendParameterStatus(nil, "load", "inflight=7"), readyForQuery)
	a, done, err := feed(all...)
	require.True(t, done && err == nil)
	assert.True(t, a.Complete && a.HasApplied)
	assert.Equal(t, bytes.Join(row, nil), a.Rows)
	assert.Equal(t, "hi", string(a.Value()))
	assert.Equal(t, "replica", a.Role)
	assert.Equal(t, int64(1767225600123), a.AppliedMillis)
	assert.Equal(t, "inflight=7", string(a.LoadReport))
}

func TestQueryResultHasTheCodeOfAnError(t *testing.T) {
	a, done, err := feed(AppendErrorResponse(nil, ErrorResponse{Severity: "ERROR", Code: CodeSnapshotTooOld, Message: "behind"}), AppendParameterStatus(nil, "role", "replica"), readyForQuery)
	assert.True(t, done && err == nil && !a.Complete)
	assert.Equal(t, CodeSnapshotTooOld, a.Code)
	a, done, err = feed(AppendErrorResponse(nil, ErrorResponse{Severity: "FATAL", Code: CodeTooManyConnections, Message: "full", Detail: "250"}))
	assert.Equal(t, CodeTooManyConnections, a.Code)
	assert.True(t, !done && errors.Is(err, io.EOF), "a fatal error needs nothing after it")
}

func TestMalformedResultsAreProtocolErrors(t *testing.T) {
	described, row, end := frame('T', described), frame('D', "\x00\x01\x00\x00\x00\x02hi"), frame('C', "SELECT 1\x00")
	for name, parts := range map[string][][]byte{
		"two rows":            {described, row, row, end, readyForQuery},
		"no description":      {row, end, readyForQuery},
		"end within the row":  {described, readyForQuery},
		"no end of the row":   {described, row, readyForQuery},
		"two columns":         {described, frame('D', "\x00\x02\x00\x00\x00\x02hi\x00\x00\x00\x00"), end, readyForQuery},
		"a longer column":     {described, frame('D', "\x00\x01\x00\x00\x00\x09hi"), end, readyForQuery},
		"a negative column":   {described, frame('D', "\x00\x01\x80\x00\x00\x00"), end, readyForQuery},
		"an error, no code":   {frame('E', "SERROR\x00\x00"), readyForQuery},
		"an error, no end":    {frame('E', "C533"), readyForQuery},
		"an unknown message":  {frame('?', ""), readyForQuery},
		"a position in words": {AppendParameterStatus(nil, "applied_ms", "now"), readyForQuery},
		"half a status":       {frame('S', "role"), readyForQuery},
	} {
		a, done, err := feed(parts...)
		assert.True(t, !done && IsProtocolError(err), name)
		_ = a
	}
	a, _, err := feed(described, row, AppendErrorResponse(nil, ErrorResponse{Severity: "ERROR", Code: "XX000", Message: "broke"}), readyForQuery)
	assert.True(t, err == nil && !a.Complete && a.Code == "XX000", "an error within the row")
}

// Faulty servers keep the connection open: waiting for the rest would take the request's whole time.
func TestProtocolErrorsAreFoundInTheFirstBytes(t *testing.T) {
	for name, begun := range map[string]string{
		"an unknown type":         "?\x00\x00\x00\x08",
		"a value of 3 GB":         "D\xb2\xd0\x5e\x00",
		"a row before its names":  "D\x00\x00\x00\x0c",
		"a long status":           "S\x00\x01\x00\x00",
		"a long end":              "Z\x00\x00\x00\x0c",
		"a column that fits less": string(frame('T', described)) + "D\x00\x00\x01\x00\x00\x01\x00\x00\x00\x02",
	} {
		_, done, err := feed([]byte(begun))
		assert.True(t, !done && IsProtocolError(err), "%s: %v", name, err)
	}
}

func TestParseLoadReport(t *testing.T) {
	got := map[string]float64{}
	assert.True(t, ParseLoadReport([]byte("inflight=7,x0=1767225600.5"), func(n string, v float64) { got[n] = v }))
	assert.Equal(t, map[string]float64{"inflight": 7, "x0": 1767225600.5}, got)
	for _, bad := range []string{"inflight", "inflight=x", "a=1,,b=2", "a=NaN"} {
		assert.False(t, ParseLoadReport([]byte(bad), func(string, float64) {}), bad)
	}
}

func FuzzStatement(f *testing.F) {
	f.Add([]byte(read + "\x00"))
	f.Add([]byte("INSERT INTO facts (code, data) VALUES ('a''b', '\\x9f') /* c=o,d=5,cluster=1 */;\x00"))
	f.Add([]byte("/* d=1 */ SELECT ' /* d=,c==,cluster=9 */\x00"))
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := ParseStatement(body)
		if err != nil || s.Empty {
			return
		}
		again, err := ParseStatement(s.Query(123 * time.Millisecond)[5:])
		if err != nil || again.Timeout != 123*time.Millisecond || again.Group != s.Group || !bytes.Equal(again.Key, s.Key) {
			t.Fatalf("%q is not forwarded as it came: %v", body, err)
		}
	})
}

func FuzzQueryResult(f *testing.F) {
	f.Add(bytes.Join([][]byte{frame('T', described), frame('D', "\x00\x01\x00\x00\x00\x02hi"), frame('C', "SELECT 1\x00"), readyForQuery}, nil))
	f.Add(append(AppendErrorResponse(nil, ErrorResponse{Severity: "ERROR", Code: "25006", Message: "no primary"}), readyForQuery...))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := NewReader(bytes.NewReader(data), 64, 1<<12)
		var a QueryResult
		for {
			typ, body, err := r.Next()
			if err != nil {
				return
			}
			done, err := a.AddMessage(typ, body)
			if err != nil {
				return
			}
			if done {
				if a.Complete && (a.Code != "" || !bytes.Contains(data, a.Rows)) {
					t.Fatalf("a value that was not sent: %q", a.Rows)
				}
				return
			}
		}
	})
}

// A message that is written later has a shorter timeout, and is the same byte for byte otherwise.
func TestShortenTimeoutInPlace(t *testing.T) {
	const text = "SELECT 'x' /* id=1,c=o,d=12000,k=5c,cluster=3 */"
	s, err := ParseStatement(append([]byte(text), 0))
	require.NoError(t, err)
	for _, wait := range []time.Duration{12 * time.Second, 9999 * time.Millisecond, 10 * time.Millisecond, 9*time.Millisecond + 1, 0, -time.Second} {
		q := s.QueryWithTimeout(12 * time.Second)
		assert.Equal(t, string(s.Query(wait)), string(q.ShortenTimeout(wait)), "%v", wait)
	}
	q := s.QueryWithTimeout(12 * time.Second)
	for _, wait := range []time.Duration{11 * time.Second, 900 * time.Millisecond, 899 * time.Millisecond, time.Millisecond} {
		assert.Equal(t, string(s.Query(wait)), string(q.ShortenTimeout(wait)), "repeatedly")
	}
	assert.Equal(t, string(s.Query(time.Millisecond)), string(q.ShortenTimeout(time.Minute)), "never longer")
	assert.Equal(t, text, string(s.text))
}
