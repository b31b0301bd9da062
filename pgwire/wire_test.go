package pgwire

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/sqlclass"
)

// TestMessagesOnTheWire compares every message and error text that is sent to clients and servers with the recorded bytes. Each line of
// testdata/messages.txt has a quoted name and a quoted text.
func TestMessagesOnTheWire(t *testing.T) {
	var got []string
	add := func(name string, b []byte) { got = append(got, fmt.Sprintf("%q %q", name, b)) }
	add("greeting", AppendStartupResponse(nil))
	add("greeting after other bytes", AppendStartupResponse([]byte("x")))
	add("parameter status", AppendParameterStatus(nil, "role", "primary"))
	add("empty", AppendEmptyQueryResponse(nil))
	add("ready", AppendReadyForQuery(nil))
	add("startup", AppendStartup([]byte("x"), "router", "facts"))
	add("query", AppendQuery(nil, "SELECT 1"))
	add("terminate", []byte{TypeTerminate})
	value := SingleValueResult([]byte("x1=1"))
	add("single value", value.Rows)
	for _, code := range []string{CodeTooManyConnections, CodeReadOnlyTransaction, CodeSnapshotTooOld, CodeProtocolViolation, CodeFeatureNotSupported, CodeSyntaxError, CodeInvalidParameterValue,
		CodeTransactionRollback, CodeProgramLimitExceeded, CodeInternalError, CodeIdleSessionTimeout, CodeCannotConnectNow} {
		add("error "+code, AppendErrorResponse(nil, ErrorResponse{Severity: "ERROR", Code: code, Message: "what"}))
	}
	add("error with detail", AppendErrorResponse([]byte("x"), ErrorResponse{Severity: "FATAL", Code: CodeTooManyConnections, Message: "what", Detail: "250"}))

	s, err := statement(`INSERT INTO facts (code, data) VALUES ('it''s', '\x9f') /* id=7,d = 12000 ,c=o,r=1,k=5c,cluster=-3 */;`)
	require.NoError(t, err)
	for _, wait := range []time.Duration{12 * time.Second, 9999 * time.Millisecond, 9*time.Millisecond + 1, 0, -time.Second, 24 * time.Hour} {
		add(fmt.Sprintf("query d=%v", wait), s.QueryMessage(wait))
	}
	q := s.QueryWithTimeout(12 * time.Second)
	for _, wait := range []time.Duration{11 * time.Second, 900 * time.Millisecond, time.Millisecond, time.Minute} {
		add(fmt.Sprintf("shortened d=%v", wait), q.ShortenTimeout(wait))
	}

	for _, text := range []string{"DELETE FROM facts /* id=7,d=5,c=o,cluster=1 */", "SELECT 'x'", "SELECT 1 /* id=7,d=5,c=o,cluster=1 */",
		"SELECT 'x", "SELECT 'x' /* id", "SELECT 'x'; SELECT 'y'", "SELECT 'x' /* d=5,c=o,cluster=1 */", "SELECT 'x' /* id=7,c=o,cluster=1 */",
		"SELECT 'x' /* id=7,d=5,c=o */", "SELECT 'x' /* id=7,d=5,cluster=1 */", "SELECT 'x' /* id=7,d=no,c=o,cluster=1 */",
		"SELECT 'x' /* id=7,d=5,c=o,cluster=no */", "SELECT 'x' /* id=7,d=5,c=o,cluster=1,after=no */", "SELECT\x00"} {
		_, err := statement(text)
		add("statement "+text, errorText(err))
	}
	by := sqlclass.New(sqlclass.Options{CacheBytes: sqlclass.MinCacheBytes})
	for _, text := range []string{"BEGIN /* id=7,d=5,c=o,cluster=1 */", "SELECT 'x'", "SELECT 'x", "SELECT 1; SELECT 2",
		"CREATE TEMP TABLE t (a int) /* id=7 */", "SELECT set_config('a', 'b', false)", "SELECT 1 /* id=7,d=5 */",
		"SELECT 'x' /* id=7,d=5,cluster=1 */", "SELECT '\xff'"} {
		_, err := ParseClassified([]byte(text+"\x00"), by)
		add("classified statement "+text, errorText(err))
	}
	description, row, end := frame('T', rowDescription), frame('D', "\x00\x01\x00\x00\x00\x02hi"), frame('C', "SELECT 1\x00")
	for name, parts := range map[string][][]byte{
		"1 two rows": {description, row, row}, "2 ready too early": {description, readyForQuery}, "3 two columns": {frame('T', "\x00\x02")},
		"4 column size": {description, frame('D', "\x00\x01\x00\x00\x00\x09hi")}, "5 error without code": {frame('E', "SERROR\x00\x00")},
		"6 type": {frame('?', "")}, "7 position": {AppendParameterStatus(nil, "applied_ms", "now")}, "8 status": {frame('S', "role")},
		"9 ready": {frame('Z', "II")}, "long": {frame('C', strings.Repeat("x", 9000))}, "row first": {row, end},
	} {
		_, _, err := readMessages(parts...)
		add("result "+name, errorText(err))
	}
	for _, first := range []string{"\x7f\x00\x00\x00", "\x00\x00\x00\x05\x00", "\x00\x00\x00\x08\x00\x02\x00\x01", "\x00\x00\x00\x09\x00\x03\x00\x00x"} {
		_, err := NewReader(strings.NewReader(first), 64, 1<<10).ReadStartup()
		add(fmt.Sprintf("startup %q", first), errorText(err))
	}
	add("result too long", errorText(&ResultTooLargeError{Limit: 10}))
	add("buffer limit", errorText(ErrBufferLimit))

	want, err := os.ReadFile("testdata/messages.txt")
	require.NoError(t, err)
	assert.ElementsMatch(t, strings.Split(strings.TrimSuffix(string(want), "\n"), "\n"), got)
}

// errorText returns the text of an error as bytes, or nil if there is no error.
func errorText(err error) []byte {
	if err == nil {
		return nil
	}
	return []byte(err.Error())
}
