package fleet

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// oldPresence is the word of the program before versions were published.
type oldPresence struct {
	_msgpack struct{} `msgpack:",as_array"`

	Name        string
	Incarnation uint64
	Seq         uint64
	Zone        string
	Address     string
	Version     string
	Index       uint64
	Willing     bool
	Leaving     bool
	Claims      []Claim
}

// Programs of two versions in one fleet: each reads what it knows of the other's words, and nothing is taken for something else.
func TestTheProgramBeforeReadsAndIsRead(t *testing.T) {
	now := Presence{Name: "n1", Incarnation: 7, Seq: 9, Zone: "a", Address: "x:1", Version: "0.4.0", Index: 12, Willing: true,
		Claims: []Claim{{Duty: "list", Term: 3}}, Acts: 5, Righted: true, Takes: 6, Taking: true, Digests: []Digest{{Part: "roll", Data: []byte("x")}}}
	b, err := msgpack.Marshal(&now)
	require.NoError(t, err)
	var same Presence
	require.NoError(t, msgpack.Unmarshal(b, &same))
	assert.Equal(t, now, same)

	b, err = msgpack.Marshal(&oldPresence{Name: "n1", Incarnation: 7, Seq: 9, Zone: "a", Address: "x:1", Version: "0.4.0", Index: 12, Willing: true, Claims: now.Claims})
	require.NoError(t, err)
	var back Presence
	require.NoError(t, msgpack.Unmarshal(b, &back))
	assert.Equal(t, Presence{Name: "n1", Incarnation: 7, Seq: 9, Zone: "a", Address: "x:1", Version: "0.4.0", Index: 12, Willing: true, Claims: now.Claims}, back)
	assert.False(t, back.Righted, "it asks for no right")

	b, err = msgpack.Marshal([]any{"n1", 7, 9, "a", "x:1", "0.9", 12, true, false, []any{[]any{"list", 3, 0, "news"}}, 5, true, 6, true, nil, "more", 17})
	require.NoError(t, err)
	var next Presence
	require.NoError(t, msgpack.Unmarshal(b, &next), "what a newer program adds is passed over")
	assert.Equal(t, now.Claims, next.Claims)
	assert.EqualValues(t, 6, next.Takes)
	_, err = decodeRecord([]byte{0x93, 1, 2, 3})
	assert.Error(t, err, "a record is read whole or not")

	m := Message{Kind: kinds, From: "n9"} // of a newer program
	assert.Error(t, m.check())
}

func TestARecordSaysWhichVersionsMayBeActedOn(t *testing.T) {
	r := newRecord()
	assert.True(t, r.rightTo(0) && r.rightTo(9), "all, where nothing is said")
	r.Entries[RightKey] = &Entry{Index: 3, Value: Range{Least: 2, Most: 3}.Encode()}
	assert.Equal(t, []bool{false, true, true, false}, []bool{r.rightTo(1), r.rightTo(2), r.rightTo(3), r.rightTo(4)})
}
