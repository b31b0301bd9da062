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

// readStatement is a valid statement that reads.
const readStatement = "SELECT data FROM facts WHERE code = '7f3a' /* id=9b1f,c=basket,t=acme,d=480,cluster=2,after=17,new=1 */"

// frame returns a message of type typ with the given body.
func frame(typ byte, body string) []byte {
	return appendMessage(nil, typ, func(b []byte) []byte { return append(b, body...) })
}

// statement parses the text of a statement.
func statement(text string) (Statement, error) { return ParseStatement([]byte(text + "\x00")) }

func TestForwardedStatementDiffersInItsTimeoutOnly(t *testing.T) {
	s, err := statement(readStatement)
	require.NoError(t, err)
	assert.Equal(t, []string{"7f3a", "9b1f", "basket", "acme"},
		[]string{string(s.Key), string(s.ID), string(s.RequestType), string(s.Customer)})
	assert.Equal(t, int64(2), s.Group)
	assert.Equal(t, int64(17), s.LastWritePosition)
	assert.Equal(t, 480*time.Millisecond, s.Timeout)
	assert.False(t, s.Write || s.Retry)
	want := strings.Replace(readStatement, "d=480", "d=1480", 1) + "\x00"
	assert.Equal(t, "Q"+string(binary.BigEndian.AppendUint32(nil, uint32(len(want)+4)))+want,
		string(s.QueryMessage(1479500*time.Microsecond)))
}

func TestForwardedWriteKeepsItsCommentAndQuotes(t *testing.T) {
	s, err := statement(`insert INTO facts (code, data) VALUES ('it''s; /* x', '\x9f') /* id=7,d = 5 ,c=o,r=1,k=5c,cluster=-3 */;`)
	require.NoError(t, err)
	assert.True(t, s.Write && s.Retry)
	assert.Equal(t, "it''s; /* x", string(s.Key))
	assert.Equal(t, int64(-3), s.Group)
	assert.Contains(t, string(s.QueryMessage(time.Microsecond)), "d = 1 ,c=o,r=1,k=5c")
}

func TestInvalidStatementsHaveTheirErrorCode(t *testing.T) {
	for text, code := range map[string]string{
		strings.Replace(readStatement, "/*", "", 1):                CodeSyntaxError,
		strings.Replace(readStatement, "*/", "", 1):                CodeSyntaxError,
		strings.Replace(readStatement, "'7f3a'", "'7f3a", 1):       CodeSyntaxError,
		strings.Replace(readStatement, "'7f3a'", "7", 1):           CodeSyntaxError,
		readStatement + "; SELECT 2":                               CodeSyntaxError,
		strings.Replace(readStatement, "cluster=2", "cluster=", 1): CodeInvalidParameterValue,
		strings.Replace(readStatement, "cluster=2", "", 1):         CodeInvalidParameterValue,
		strings.Replace(readStatement, "c=basket", "", 1):          CodeInvalidParameterValue,
		strings.Replace(readStatement, "id=9b1f", "id=", 1):        CodeInvalidParameterValue,
		strings.Replace(readStatement, "id=9b1f", "", 1):           CodeInvalidParameterValue,
		strings.Replace(readStatement, "d=480", "d=0", 1):          CodeInvalidParameterValue,
		strings.Replace(readStatement, "d=480", "d=-4", 1):         CodeInvalidParameterValue,
		strings.Replace(readStatement, "d=480", "d", 1):            CodeInvalidParameterValue,
		strings.Replace(readStatement, "d=480", "", 1):             CodeInvalidParameterValue,
		strings.Replace(readStatement, "d=480", "d=4294967295", 1): CodeInvalidParameterValue,
		strings.Replace(readStatement, "SELECT", "DELETE", 1):      CodeFeatureNotSupported,
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

// sequence is an io.Reader that reads its parts in turn. An error of a part is returned once and ends only that part.
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

// rowDescription is the body of a RowDescription message with one column.
const rowDescription = "\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"

// readMessages adds the messages in parts to a QueryResult until the result is finished or an error occurs.
func readMessages(parts ...[]byte) (result *QueryResult, done bool, err error) {
	result = &QueryResult{}
	r := NewReader(bytes.NewReader(bytes.Join(parts, nil)), 64, 1<<16)
	r.CheckMessage = result.CheckMessage
	for err == nil && !done {
		var typ byte
		var body []byte
		if typ, body, err = r.Next(); err == nil {
			done, err = result.AddMessage(typ, body)
		}
	}
	return result, done, err
}

func TestQueryResultWithRowAndServerParameters(t *testing.T) {
	row := [][]byte{frame('T', rowDescription), frame('D', "\x00\x01\x00\x00\x00\x02hi"), frame('C', "SELECT 1\x00")}
	all := append(append([][]byte{}, row...), AppendParameterStatus(nil, "role", "replica"), AppendParameterStatus(nil, "applied_ms", "1767225600123"),
		AppendParameterStatus(nil, "load", "inflight=7"), readyForQuery)
	result, done, err := readMessages(all...)
	require.True(t, done && err == nil)
	assert.True(t, result.Complete && result.HasApplied)
	assert.Equal(t, bytes.Join(row, nil), result.Rows)
	assert.Equal(t, "hi", string(result.Value()))
	assert.Equal(t, "replica", result.Role)
	assert.Equal(t, int64(1767225600123), result.AppliedMillis)
	assert.Equal(t, "inflight=7", string(result.LoadReport))
}

func TestQueryResultHasTheCodeOfAnError(t *testing.T) {
	result, done, err := readMessages(AppendErrorResponse(nil, ErrorResponse{Severity: "ERROR", Code: CodeSnapshotTooOld, Message: "behind"}), AppendParameterStatus(nil, "role", "replica"), readyForQuery)
	assert.True(t, done && err == nil && !result.Complete)
	assert.Equal(t, CodeSnapshotTooOld, result.Code)
	result, done, err = readMessages(AppendErrorResponse(nil, ErrorResponse{Severity: "FATAL", Code: CodeTooManyConnections, Message: "full", Detail: "250"}))
	assert.Equal(t, CodeTooManyConnections, result.Code)
	assert.True(t, !done && errors.Is(err, io.EOF), "no ReadyForQuery is required after a fatal error")
}

func TestMalformedResultsAreProtocolErrors(t *testing.T) {
	description, row, end := frame('T', rowDescription), frame('D', "\x00\x01\x00\x00\x00\x02hi"), frame('C', "SELECT 1\x00")
	for name, parts := range map[string][][]byte{
		"two rows":                        {description, row, row, end, readyForQuery},
		"no description":                  {row, end, readyForQuery},
		"end within the row":              {description, readyForQuery},
		"no end of the row":               {description, row, readyForQuery},
		"two columns":                     {description, frame('D', "\x00\x02\x00\x00\x00\x02hi\x00\x00\x00\x00"), end, readyForQuery},
		"a longer column":                 {description, frame('D', "\x00\x01\x00\x00\x00\x09hi"), end, readyForQuery},
		"a negative column":               {description, frame('D', "\x00\x01\x80\x00\x00\x00"), end, readyForQuery},
		"an error, no code":               {frame('E', "SERROR\x00\x00"), readyForQuery},
		"an error, no end":                {frame('E', "C533"), readyForQuery},
		"an unknown message":              {frame('?', ""), readyForQuery},
		"a position that is not a number": {AppendParameterStatus(nil, "applied_ms", "now"), readyForQuery},
		"an incomplete status":            {frame('S', "role"), readyForQuery},
	} {
		result, done, err := readMessages(parts...)
		assert.True(t, !done && IsProtocolError(err), name)
		_ = result
	}
	result, _, err := readMessages(description, row, AppendErrorResponse(nil, ErrorResponse{Severity: "ERROR", Code: "XX000", Message: "broke"}), readyForQuery)
	assert.True(t, err == nil && !result.Complete && result.Code == "XX000", "an error after the row")
}

// Faulty servers often keep the connection open, so waiting for the rest of an invalid message would use up the whole time of the request.
func TestProtocolErrorsAreFoundInTheFirstBytes(t *testing.T) {
	for name, received := range map[string]string{
		"an unknown type":               "?\x00\x00\x00\x08",
		"a value of 3 GB":               "D\xb2\xd0\x5e\x00",
		"a row before its description":  "D\x00\x00\x00\x0c",
		"a long status":                 "S\x00\x01\x00\x00",
		"a long end":                    "Z\x00\x00\x00\x0c",
		"a column shorter than its row": string(frame('T', rowDescription)) + "D\x00\x00\x01\x00\x00\x01\x00\x00\x00\x02",
	} {
		_, done, err := readMessages([]byte(received))
		assert.True(t, !done && IsProtocolError(err), "%s: %v", name, err)
	}
}

func TestParseLoadReport(t *testing.T) {
	got := map[string]float64{}
	assert.True(t, ParseLoadReport([]byte("inflight=7,x0=1767225600.5"), func(n string, v float64) { got[n] = v }))
	assert.Equal(t, map[string]float64{"inflight": 7, "x0": 1767225600.5}, got)
	for _, bad := range []string{"inflight", "inflight=x", "a=1,,b=2", "a=NaN", "x0=Inf", "x0=-inf", "x0=1e999"} {
		assert.False(t, ParseLoadReport([]byte(bad), func(string, float64) {}), bad)
	}
}

func FuzzStatement(f *testing.F) {
	f.Add([]byte(readStatement + "\x00"))
	f.Add([]byte("INSERT INTO facts (code, data) VALUES ('a''b', '\\x9f') /* c=o,d=5,cluster=1 */;\x00"))
	f.Add([]byte("/* d=1 */ SELECT ' /* d=,c==,cluster=9 */\x00"))
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := ParseStatement(body)
		if err != nil || s.Empty {
			return
		}
		again, err := ParseStatement(s.QueryMessage(123 * time.Millisecond)[5:])
		if err != nil || again.Timeout != 123*time.Millisecond || again.Group != s.Group || !bytes.Equal(again.Key, s.Key) {
			t.Fatalf("%q is forwarded with a change other than its timeout: %v", body, err)
		}
	})
}

func FuzzQueryResult(f *testing.F) {
	f.Add(bytes.Join([][]byte{frame('T', rowDescription), frame('D', "\x00\x01\x00\x00\x00\x02hi"), frame('C', "SELECT 1\x00"), readyForQuery}, nil))
	f.Add(append(AppendErrorResponse(nil, ErrorResponse{Severity: "ERROR", Code: "25006", Message: "no primary"}), readyForQuery...))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := NewReader(bytes.NewReader(data), 64, 1<<12)
		var result QueryResult
		for {
			typ, body, err := r.Next()
			if err != nil {
				return
			}
			done, err := result.AddMessage(typ, body)
			if err != nil {
				return
			}
			if done {
				if result.Complete && (result.Code != "" || !bytes.Contains(data, result.Rows)) {
					t.Fatalf("the result contains a value that was not sent: %q", result.Rows)
				}
				return
			}
		}
	})
}

// ShortenTimeout returns the same bytes as Query with the shorter timeout.
func TestShortenTimeoutInPlace(t *testing.T) {
	const text = "SELECT 'x' /* id=1,c=o,d=12000,k=5c,cluster=3 */"
	s, err := ParseStatement(append([]byte(text), 0))
	require.NoError(t, err)
	for _, wait := range []time.Duration{12 * time.Second, 9999 * time.Millisecond, 10 * time.Millisecond, 9*time.Millisecond + 1, 0, -time.Second} {
		q := s.QueryWithTimeout(12 * time.Second)
		assert.Equal(t, string(s.QueryMessage(wait)), string(q.ShortenTimeout(wait)), "%v", wait)
	}
	q := s.QueryWithTimeout(12 * time.Second)
	for _, wait := range []time.Duration{11 * time.Second, 900 * time.Millisecond, 899 * time.Millisecond, time.Millisecond} {
		assert.Equal(t, string(s.QueryMessage(wait)), string(q.ShortenTimeout(wait)), "shortened repeatedly")
	}
	assert.Equal(t, string(s.QueryMessage(time.Millisecond)), string(q.ShortenTimeout(time.Minute)), "a longer timeout is ignored")
	assert.Equal(t, text, string(s.text))
}

// ShortenTimeout ignores a longer timeout, whether or not its digits would fit: a server is never told more time than it was told before.
func TestShortenTimeoutIgnoresLongerTimeouts(t *testing.T) {
	s, err := ParseStatement(append([]byte("SELECT 'x' /* id=1,d=12000,c=o,cluster=3 */"), 0))
	require.NoError(t, err)
	for _, present := range []time.Duration{time.Millisecond, 9 * time.Millisecond, 10 * time.Millisecond, 12 * time.Second} {
		for _, longer := range []time.Duration{present + 1, present + time.Millisecond, 2 * present, 10 * present, time.Hour} {
			q := s.QueryWithTimeout(present)
			assert.Equal(t, string(s.QueryMessage(present)), string(q.ShortenTimeout(longer)), "%v in place of %v", longer, present)
		}
	}
	q := s.QueryWithTimeout(12 * time.Second)
	q.ShortenTimeout(11 * time.Second)
	assert.Equal(t, string(s.QueryMessage(11*time.Second)), string(q.ShortenTimeout(12*time.Second)), "longer than the shortened timeout")
}
