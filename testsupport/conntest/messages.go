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

// IDs is the last id of a request in a statement's comment; each statement below takes the next one.
var IDs atomic.Int64

// IDOf returns the id in a statement's comment.
func IDOf(query []byte) string {
	_, after, _ := bytes.Cut(query, []byte("id="))
	id, _, _ := bytes.Cut(after, []byte(","))
	return string(id)
}

// ReadQuery is a statement that reads a row, with a deadline in milliseconds.
func ReadQuery(deadline string) []byte { return ReadQueryOf("k", deadline) }

// ReadQueryOf is a statement that reads the row of a key, with a deadline in milliseconds.
func ReadQueryOf(key, deadline string) []byte {
	return pgwire.AppendQuery(nil, fmt.Sprintf("SELECT data FROM facts WHERE code = '%s' /* id=%d,c=read,d=%s,cluster=2 */", key, IDs.Add(1), deadline))
}

// ReadQueries is a number of statements that read a row, with a deadline of a minute.
func ReadQueries(n int) (all []byte) {
	for range n {
		all = append(all, ReadQuery("60000")...)
	}
	return all
}

// WriteQuery is a statement that writes the row of a key, with a deadline in milliseconds.
func WriteQuery(key, deadline string) []byte {
	return pgwire.AppendQuery(nil, fmt.Sprintf("INSERT INTO facts (code, data) VALUES ('%s', '\\x00') RETURNING data /* id=%d,c=write,d=%s,cluster=2 */",
		key, IDs.Add(1), deadline))
}

// Message is a message of a type, as it stands on the wire.
func Message(typ byte, body string) []byte {
	n := len(body) + 4
	return append([]byte{typ, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, body...)
}

// Row is the part of a server's answer that a client is sent: a row of one value.
func Row(value string) []byte {
	n := len(value)
	return bytes.Join([][]byte{Message('T', "\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"),
		Message('D', "\x00\x01"+string([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})+value),
		Message('C', "SELECT 1\x00")}, nil)
}

// RowResponse is a server's complete answer: a row of one value, from a replica.
func RowResponse(value string) []byte {
	return pgwire.AppendReadyForQuery(pgwire.AppendParameterStatus(Row(value), "role", "replica"))
}

// AssertRecorded compares what was sent under a name with what a file has for it: a name and a quoted string on each line, separated
// by a tab.
func AssertRecorded(t *testing.T, file, name, sent string) {
	t.Helper()
	recorded, ok := readRecorded(t, file)[name]
	assert.True(t, ok && recorded == sent, "%s: recorded %q\nsent:\n%s\t%q", name, recorded, name, sent)
}

func readRecorded(t *testing.T, file string) map[string]string {
	t.Helper()
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	all := map[string]string{}
	for line := range strings.Lines(string(text)) {
		name, quoted, ok := strings.Cut(strings.TrimSuffix(line, "\n"), "\t")
		require.True(t, ok, line)
		all[name], err = strconv.Unquote(quoted)
		require.NoError(t, err, line)
	}
	return all
}
