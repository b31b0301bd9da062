package audit

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Messages are lost and duplicated; each segment is collected whole and once, and within the rate.
func TestSegmentsAreCollectedWholeWithinTheRateDespiteLostMessages(t *testing.T) {
	r := rand.New(rand.NewPCG(4, 4))
	files := map[string]map[string][]byte{}
	var fronts []string
	total := 0
	for _, f := range []string{"n1", "n2", "n3"} {
		fronts = append(fronts, f)
		files[f] = map[string][]byte{}
		for k := range 5 {
			for _, end := range []string{LogSuffix, IndexSuffix} {
				b := bytes.Repeat([]byte{byte(k)}, r.IntN(100_000))
				files[f][SegmentName(f, uint64(k+1))+end] = b
				total += len(b)
			}
		}
	}
	files["n2"][SegmentName("n2", 2)+IndexSuffix] = nil // an empty index is complete
	reply := func(f string, q FetchRequest) *FetchResponse {
		if q.Name == "" {
			var all []string
			for k := range 5 {
				all = append(all, SegmentName(f, uint64(k+1)))
			}
			return &FetchResponse{Request: q, Names: SegmentsAfter(all, q.After)}
		}
		if f == "n3" && q.Name == SegmentName("n3", 1) {
			return &FetchResponse{Request: q, Removed: true}
		}
		end := LogSuffix
		if q.Index {
			end = IndexSuffix
		}
		b := files[f][q.Name+end]
		return &FetchResponse{Request: q, Total: int64(len(b)), Data: b[q.Offset:min(int(q.Offset)+ChunkBytes, len(b))]}
	}
	const rate = 256 << 10
	g := NewCollector(rate, time.Second, []string{SegmentName("n1", 2)}) // two of n1's were collected before
	collected := map[string][]byte{}
	now := time.Duration(0)
	for ; now < time.Minute && g.SegmentsReceived < 3+5+4; now += 50 * time.Millisecond {
		for _, a := range g.Step(now, slices.Clone(fronts)) {
			if r.IntN(5) == 0 {
				continue // lost
			}
			q, _ := DecodeDatagram(a.Request.Encode())
			_, x := DecodeDatagram(reply(a.Front, *q).Encode())
			for range 1 + r.IntN(2) {
				for _, f := range g.OnResponse(now, a.Front, x) {
					assert.NotContains(t, collected, f.Name)
					collected[f.Name] = f.Data
				}
			}
		}
		assert.LessOrEqual(t, float64(g.BytesReceived), rate*(now.Seconds()+1)+ChunkBytes)
	}
	assert.Equal(t, 12, g.SegmentsReceived)
	for name, b := range collected {
		front, _, ok := ParseLogName(name)
		if !ok {
			front = name[:2]
		}
		assert.True(t, bytes.Equal(files[front][name], b), name)
	}
	assert.NotContains(t, collected, SegmentName("n1", 1)+LogSuffix)
	for _, malformed := range [][]byte{nil, {'q'}, {'r', 0xc1}, {'x', 1, 2}} {
		q, x := DecodeDatagram(malformed)
		assert.True(t, q == nil && x == nil)
	}
}
