package front

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"dapplerouter/pgwire"
	"dapplerouter/sqlclass"
)

func TestPipelineDependencies(t *testing.T) {
	read := func(key string) *pgwire.Statement { return &pgwire.Statement{Key: []byte(key)} }
	write := func(key string) *pgwire.Statement { return &pgwire.Statement{Key: []byte(key), Write: true} }
	otherGroup := &pgwire.Statement{Key: []byte("a"), Group: 1, Write: true}
	classified := &pgwire.Statement{Normalized: &sqlclass.NormalizedStatement{}, Write: true}
	for name, x := range map[string]struct {
		earlier, later *pgwire.Statement
		want           bool
	}{
		"reads of one row":                {read("a"), read("a"), false},
		"a read after a write":            {write("a"), read("a"), true},
		"a write after a read":            {read("a"), write("a"), true},
		"writes of one row":               {write("a"), write("a"), true},
		"another row":                     {write("a"), read("b"), false},
		"another group":                   {otherGroup, read("a"), false},
		"a read after a classified write": {classified, read("a"), true},
		"a classified write after a read": {read("a"), classified, true},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, x.want, dependent(x.earlier, x.later)) })
	}
}

// For any order of arrivals and responses, a request is started once, after all requests on which it depends are answered, and responses
// are taken in order of arrival.
func TestPipelineOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Pipeline[int]
		var entries []*PipelineEntry[int]
		var running, taken []int
		started := map[int]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				s := &pgwire.Statement{Write: rapid.Bool().Draw(t, "write"), Key: []byte{rapid.Byte().Draw(t, "key") % 3}}
				entries = append(entries, p.Add(len(entries), s))
			case 1:
				for n, ok := p.StartNext(); ok; n, ok = p.StartNext() {
					assert.False(t, started[n], "each request is started once")
					started[n] = true
					running = append(running, n)
					for i, earlier := range entries[:n] {
						if dependent(earlier.statement, entries[n].statement) {
							assert.Equal(t, pipelineAnswered, earlier.state, "%d before %d", i, n)
						}
					}
				}
			case 2:
				if len(running) > 0 {
					i := rapid.IntRange(0, len(running)-1).Draw(t, "answered")
					entries[running[i]].MarkAnswered()
					running = slices.Delete(running, i, i+1)
				}
			case 3:
				for n, ok := p.PopAnswered(); ok; n, ok = p.PopAnswered() {
					assert.Equal(t, len(taken), n, "responses are taken in order of arrival")
					taken = append(taken, n)
				}
			}
		}
		assert.Equal(t, len(entries)-len(taken), p.Len())
		for p.Len() > 0 { // every remaining request can be completed
			for n, ok := p.StartNext(); ok; n, ok = p.StartNext() {
				running = append(running, n)
			}
			for _, n := range running {
				entries[n].MarkAnswered()
			}
			running = nil
			_, ok := p.PopAnswered()
			assert.True(t, ok)
			for ok {
				_, ok = p.PopAnswered()
			}
		}
	})
}

func TestPipelineAbandon(t *testing.T) {
	var p Pipeline[string]
	write := func() *pgwire.Statement { return &pgwire.Statement{Key: []byte("a"), Write: true} }
	p.Add("running", write())
	p.Add("queued", write())
	p.Add("answered", nil)
	p.StartNext()
	running, others := p.Abandon()
	assert.Equal(t, []string{"running"}, running)
	assert.Equal(t, []string{"queued", "answered"}, others)
	_, ok := p.StartNext()
	assert.False(t, ok)
}
