package framing

import (
	"bytes"
	"encoding/hex"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// pinnedFrame has the types of fields that real frames have.
type pinnedFrame struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Kind uint8
	ID   uint64
	Name string
	Data []byte
	Next *pinnedFrame
}

// The expected bytes were written by version 0.3.0: a greeting of magic, zero byte and version, then frames of length, CRC-32C and
// MessagePack. A change of the wire format breaks links between instances of different releases.
func TestWireFormatIsThatOfVersion030(t *testing.T) {
	const greeting = "54455354" + "0001"
	const frames = "0000001a" + "28b68624" + "9503cf0000000200000000a26e31c4030102039500ccc8a0c0c0"
	peerGreeting, err := hex.DecodeString(greeting)
	require.NoError(t, err)
	var wire bytes.Buffer
	c := NewCodec[pinnedFrame](protocol, struct {
		io.Reader
		io.Writer
	}{bytes.NewReader(peerGreeting), &wire})
	require.NoError(t, c.Greet())
	assert.Equal(t, greeting, hex.EncodeToString(wire.Bytes()))
	wire.Reset()
	f := pinnedFrame{Kind: 3, ID: 1 << 33, Name: "n1", Data: []byte{1, 2, 3}, Next: &pinnedFrame{ID: 200}}
	require.NoError(t, c.Append(&f))
	require.NoError(t, c.Flush())
	assert.Equal(t, frames, hex.EncodeToString(wire.Bytes()))
	b, err := hex.DecodeString(frames)
	require.NoError(t, err)
	var decoded pinnedFrame
	require.NoError(t, NewCodec[pinnedFrame](protocol, bytes.NewBuffer(b)).Read(&decoded))
	assert.Equal(t, f, decoded)
}
