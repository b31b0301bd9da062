package routing

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestAttemptResultSaysWhetherItRan(t *testing.T) {
	neverRan := map[AttemptResult]bool{Overloaded: true, Unreachable: true, NotSent: true, Misrouted: true}
	names := map[string]bool{}
	for r := Succeeded; r <= Stale; r++ {
		assert.Equal(t, neverRan[r], r.NeverRan(), r.String())
		names[r.String()] = true
	}
	assert.Len(t, names, int(Stale)+1, "each result has its own name")
	assert.Equal(t, "misrouted", Misrouted.String())
}

func TestServerStateNames(t *testing.T) {
	for state, want := range map[ServerState]string{Serving: "serving", Draining: "draining", Removed: "removed", Partitioned: "partitioned"} {
		assert.Equal(t, want, state.String())
	}
}
