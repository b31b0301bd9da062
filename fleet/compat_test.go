package fleet

import (
	"testing"
	"time"

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
	r.Entries[RightKey].Value = Range{Least: 0, Most: 2}.Encode()
	assert.False(t, r.rightTo(1), "a version between them was taken back")
}

// A word that was long on its way gives no more than one that came at once; a word for another start, or for a version that
// this front does not ask for, gives nothing.
func TestARightIsReckonedFromWhenItWasAskedFor(t *testing.T) {
	n, err := New(Options{Name: "n1", Incarnation: 7, Pace: Pace{Span: 3 * time.Second}, Right: 12 * time.Second}, nil)
	require.NoError(t, err)
	n.Tick(1600 * time.Millisecond)
	asked := n.seq
	require.Equal(t, 1600*time.Millisecond, n.askedAt[asked])
	n.Tick(3 * time.Second)
	for _, nothing := range []Mark{{Name: "n1", Term: 6, Index: asked}, {Name: "n1", Term: 7, Index: asked, Version: 3}, {Name: "n1", Term: 7, Index: asked + 1}} {
		n.rights([]Mark{nothing})
		assert.Zero(t, n.Right(nothing.Version))
	}
	n.rights([]Mark{{Name: "n1", Term: 7, Index: asked}})
	assert.Equal(t, 1600*time.Millisecond+10500*time.Millisecond, n.Right(0))
	n.Taking(3100*time.Millisecond, 3)
	n.rights([]Mark{{Name: "n1", Term: 7, Index: n.seq, Version: 3}})
	assert.Equal(t, 3100*time.Millisecond+10500*time.Millisecond, n.Right(3))
	n.Acting(3200*time.Millisecond, 3)
	n.rights([]Mark{{Name: "n1", Term: 7, Index: n.seq, Version: 3}})
	assert.Zero(t, n.Right(0), "what it acts on no more")
}

// A version that the record rules out is renewed no right, though a majority confirms that the giver gives.
func TestAGiverRenewsNoRightToWhatTheRecordRulesOut(t *testing.T) {
	n, err := New(Options{Name: "k1", Incarnation: 1, Pace: Pace{Span: 3 * time.Second}, Founders: []Keeper{{"k1", "x"}}}, &State{Opened: 1})
	require.NoError(t, err)
	g := newGiver(n, n.keeper, 0)
	g.ready = true
	n.ways["n2"] = way{via: "p"}
	n.peers["p"] = &peer{}
	ask := func(acts uint64) []Send {
		g.there(time.Second, Presence{Name: "n2", Incarnation: 4, Seq: acts + 1, Acts: acts, Righted: true})
		g.renew(time.Second, n.keeper.reads)
		require.Empty(t, n.Sends(), "not before a round that began behind the word")
		g.renew(time.Second, n.keeper.reads+1)
		return n.Sends()
	}
	n.record.Entries[RightKey] = &Entry{Index: 3, Value: Range{Least: 2, Most: 3}.Encode()}
	assert.Empty(t, ask(1))
	require.Len(t, ask(2), 1)
	assert.Empty(t, ask(4))
}
