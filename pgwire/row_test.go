package pgwire

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// readResult reads a result with a Reader that adds the given spare capacity to long rows. inPlace reports whether the result was
// assembled in the body of its row.
func readResult(t require.TestingT, from io.Reader, spare int) (result *QueryResult, inPlace bool) {
	r := NewReader(from, 4<<10, 1<<20)
	r.RetainedBytes, r.SpareBytes = 16, spare
	result = &QueryResult{}
	r.CheckMessage = result.CheckMessage
	for done := false; !done; {
		typ, body, err := r.Next()
		require.NoError(t, err)
		if typ != 'D' {
			done, err = result.AddMessage(typ, body)
			require.NoError(t, err)
			continue
		}
		taken, err := result.AddRowInPlace(body)
		require.NoError(t, err)
		if taken {
			inPlace = true
			r.Detach()
		}
	}
	return result, inPlace
}

// A result that is assembled in the body of its row equals one that is not, in whatever pieces the messages are received.
func TestRowAddedInPlaceGivesTheSameResult(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(t, "value")
		column := strings.Repeat("n", rapid.IntRange(0, 300).Draw(t, "column"))
		text := bytes.Join([][]byte{
			frame('T', "\x00\x01"+column+"\x00"+strings.Repeat("\x00", 18)),
			frame('D', "\x00\x01"+string([]byte{0, 0, byte(len(value) >> 8), byte(len(value))})+string(value)),
			frame('C', "SELECT 1\x00"),
			frame('Z', "I")}, nil)
		readers := []io.Reader{bytes.NewReader(text), iotest.OneByteReader(bytes.NewReader(text)), iotest.HalfReader(bytes.NewReader(text))}
		kind := rapid.IntRange(0, len(readers)-1).Draw(t, "reader")
		result, _ := readResult(t, readers[kind], rapid.IntRange(0, 512).Draw(t, "spare"))
		assert.Equal(t, text[:len(text)-6], result.Rows)
		assert.True(t, result.Complete)
		assert.Equal(t, value, append([]byte{}, result.Value()[:len(value)]...))
	})
}

// AddRowInPlace takes over the body of a long row that has spare capacity. Without the capacity, or for an invalid row, it behaves like
// AddMessage.
func TestLongRowIsAddedInPlaceWhereItHasRoom(t *testing.T) {
	text := bytes.Join([][]byte{
		frame('T', "\x00\x01data\x00"+strings.Repeat("\x00", 18)),
		frame('D', "\x00\x01\x00\x00\x03\xe8"+strings.Repeat("v", 1000)),
		frame('C', "SELECT 1\x00"),
		frame('Z', "I")}, nil)
	_, inPlace := readResult(t, bytes.NewReader(text), 256)
	assert.True(t, inPlace)
	_, inPlace = readResult(t, bytes.NewReader(text), 0)
	assert.False(t, inPlace)
	body := append(make([]byte, 0, 4096), "\x00\x02\x00\x00\x00\x01v"...)
	taken, err := (&QueryResult{rowMessages: 1, Rows: []byte("T")}).AddRowInPlace(body)
	assert.False(t, taken)
	assert.True(t, IsProtocolError(err), "%v", err)
}
