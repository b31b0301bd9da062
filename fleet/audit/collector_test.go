package audit

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Messages are lost and duplicated. Each segment is still collected completely and only once, and the rate is kept.
func TestSegmentsAreCollectedWholeWithinTheRateDespiteLostMessages(t *testing.T) {
	r := rand.New(rand.NewPCG(4, 4))
	files := map[string]map[string][]byte{}
	var fronts []string
	total := 0
	for _, f := range []string{"n1", "n2", "n3"} {
		fronts = append(fronts, f)
		files[f] = map[string][]byte{}
		for k := range 5 {
			for _, suffix := range []string{LogSuffix, IndexSuffix} {
				b := bytes.Repeat([]byte{byte(k)}, r.IntN(100_000))
				files[f][SegmentName(f, uint64(k+1))+suffix] = b
				total += len(b)
			}
		}
	}
	files["n2"][SegmentName("n2", 2)+IndexSuffix] = nil // an empty index is collected, too
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
		suffix := LogSuffix
		if q.Index {
			suffix = IndexSuffix
		}
		b := files[f][q.Name+suffix]
		return &FetchResponse{Request: q, Total: int64(len(b)), Data: b[q.Offset:min(int(q.Offset)+ChunkBytes, len(b))]}
	}
	const rate = 256 << 10
	collector := NewCollector(rate, time.Second, []string{SegmentName("n1", 2)}) // two segments of n1 were collected before
	collected := map[string][]byte{}
	now := time.Duration(0)
	for ; now < time.Minute && collector.SegmentsReceived < 3+5+4; now += 50 * time.Millisecond {
		for _, fetch := range collector.Step(now, slices.Clone(fronts)) {
			if r.IntN(5) == 0 {
				continue // the message is lost
			}
			request, _ := DecodeDatagram(fetch.Request.Encode())
			_, response := DecodeDatagram(reply(fetch.Front, *request).Encode())
			for range 1 + r.IntN(2) {
				for _, f := range collector.OnResponse(now, fetch.Front, response) {
					assert.NotContains(t, collected, f.Name)
					collected[f.Name] = f.Data
				}
			}
		}
		assert.LessOrEqual(t, float64(collector.BytesReceived), rate*(now.Seconds()+1)+ChunkBytes)
	}
	assert.Equal(t, 12, collector.SegmentsReceived)
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
