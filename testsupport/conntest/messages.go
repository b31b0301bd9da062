package conntest

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/pgwire"
)

// LastRequestID is the id of the last request. Each of the statements below takes the next id and carries it in its comment.
var LastRequestID atomic.Int64

// RequestIDOf returns the request id in the comment of a statement.
func RequestIDOf(query []byte) string {
	_, after, _ := bytes.Cut(query, []byte("id="))
	id, _, _ := bytes.Cut(after, []byte(","))
	return string(id)
}

// ReadQuery returns a Query message with a statement that reads a row. Its deadline is in milliseconds.
func ReadQuery(deadline string) []byte { return ReadQueryOf("k", deadline) }

// ReadQueryOf returns a Query message with a statement that reads the row of a key. Its deadline is in milliseconds.
func ReadQueryOf(key, deadline string) []byte {
	return pgwire.AppendQuery(nil, fmt.Sprintf("SELECT data FROM facts WHERE code = '%s' /* id=%d,c=read,d=%s,cluster=2 */",
		key, LastRequestID.Add(1), deadline))
}

// ReadQueries returns n Query messages, each with a statement that reads a row and has a deadline of one minute.
func ReadQueries(n int) (all []byte) {
	for range n {
		all = append(all, ReadQuery("60000")...)
	}
	return all
}

// WriteQuery returns a Query message with a statement that writes the row of a key. Its deadline is in milliseconds.
func WriteQuery(key, deadline string) []byte {
	return pgwire.AppendQuery(nil, fmt.Sprintf(
		"INSERT INTO facts (code, data) VALUES ('%s', '\\x00') RETURNING data /* id=%d,c=write,d=%s,cluster=2 */",
		key, LastRequestID.Add(1), deadline))
}

// Message returns an encoded message of a type.
func Message(typ byte, body string) []byte {
	n := len(body) + 4
	return append([]byte{typ, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, body...)
}

// Row returns the part of a server's response that is forwarded to a client: one row with one value.
func Row(value string) []byte {
	n := len(value)
	return bytes.Join([][]byte{Message('T', "\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"),
		Message('D', "\x00\x01"+string([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})+value),
		Message('C', "SELECT 1\x00")}, nil)
}

// RowResponse returns the complete response of a server: one row with one value, from a replica.
func RowResponse(value string) []byte {
	return pgwire.AppendReadyForQuery(pgwire.AppendParameterStatus(Row(value), "role", "replica"))
}

// AssertRecorded compares the data sent under a name with the data recorded for that name in a file. Each line of the file has
// a name, a tab and a quoted string.
func AssertRecorded(t *testing.T, file, name, sent string) {
	t.Helper()
	recorded, ok := readRecorded(t, file)[name]
	assert.True(t, ok && recorded == sent, "%s: recorded %q\nsent:\n%s\t%q", name, recorded, name, sent)
}

// readRecorded returns the recorded data of a file by name.
func readRecorded(t *testing.T, file string) map[string]string {
	t.Helper()
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	recorded := map[string]string{}
	for line := range strings.Lines(string(text)) {
		name, quoted, ok := strings.Cut(strings.TrimSuffix(line, "\n"), "\t")
		require.True(t, ok, line)
		recorded[name], err = strconv.Unquote(quoted)
		require.NoError(t, err, line)
	}
	return recorded
}
