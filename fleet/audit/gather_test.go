package audit

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Words get lost and come twice; what is gathered is whole, once, and within the budget.
func TestLogsAreGatheredWholeWithinABudgetThoughWordsGetLost(t *testing.T) {
	r := rand.New(rand.NewPCG(4, 4))
	files := map[string]map[string][]byte{}
	var fronts []string
	total := 0
	for _, f := range []string{"n1", "n2", "n3"} {
		fronts = append(fronts, f)
		files[f] = map[string][]byte{}
		for k := range 5 {
			for _, end := range []string{LinesEnd, IDsEnd} {
				b := bytes.Repeat([]byte{byte(k)}, r.IntN(100_000))
				files[f][SegmentName(f, uint64(k+1))+end] = b
				total += len(b)
			}
		}
	}
	files["n2"][SegmentName("n2", 2)+IDsEnd] = nil // an empty index is one too
	reply := func(f string, q Question) *Reply {
		if q.Name == "" {
			var all []string
			for k := range 5 {
				all = append(all, SegmentName(f, uint64(k+1)))
			}
			return &Reply{Asked: q, Names: Listed(all, q.Behind)}
		}
		if f == "n3" && q.Name == SegmentName("n3", 1) {
			return &Reply{Asked: q, Gone: true}
		}
		end := LinesEnd
		if q.IDs {
			end = IDsEnd
		}
		b := files[f][q.Name+end]
		return &Reply{Asked: q, Total: int64(len(b)), Data: b[q.At:min(int(q.At)+PieceSize, len(b))]}
	}
	const rate = 256 << 10
	g := NewGatherer(rate, time.Second, []string{SegmentName("n1", 2)}) // two of n1's were gathered before
	kept := map[string][]byte{}
	now := time.Duration(0)
	for ; now < time.Minute && g.Files < 3+5+4; now += 50 * time.Millisecond {
		for _, a := range g.Step(now, slices.Clone(fronts)) {
			if r.IntN(5) == 0 {
				continue // lost
			}
			q, _ := ReadPost(a.Q.Encode())
			_, x := ReadPost(reply(a.Front, *q).Encode())
			for range 1 + r.IntN(2) {
				for _, f := range g.Took(now, a.Front, x) {
					assert.NotContains(t, kept, f.Name)
					kept[f.Name] = f.Data
				}
			}
		}
		assert.LessOrEqual(t, float64(g.Bytes), rate*(now.Seconds()+1)+PieceSize)
	}
	assert.Equal(t, 12, g.Files)
	for name, b := range kept {
		front, _, ok := ParseName(name)
		if !ok {
			front = name[:2]
		}
		assert.True(t, bytes.Equal(files[front][name], b), name)
	}
	assert.NotContains(t, kept, SegmentName("n1", 1)+LinesEnd)
	for _, nonsense := range [][]byte{nil, {'q'}, {'r', 0xc1}, {'x', 1, 2}} {
		q, x := ReadPost(nonsense)
		assert.True(t, q == nil && x == nil)
	}
}
