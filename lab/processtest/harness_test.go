package processtest

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/fleet"
)

// buildProgram builds the program as it is deployed, and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "dapplerouter")
	out, err := exec.Command("go", "build", "-o", path, "../../cmd/dapplerouter").CombinedOutput()
	require.NoError(t, err, string(out))
	return path
}

// TestScripts runs every script once, up to four at a time.
func TestScripts(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	if raceEnabled {
		t.Skip("the processes run without the race detector, so the test without it covers the same")
	}
	built := buildProgram(t)
	scripts, err := filepath.Glob("../scripts/*.sexp")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(scripts), 12)
	slots := make(chan struct{}, 4)
	t.Run("all", func(t *testing.T) {
		for _, path := range scripts {
			t.Run(strings.TrimSuffix(filepath.Base(path), ".sexp"), func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				s, err := Load(path)
				require.NoError(t, err)
				var out bytes.Buffer
				h := &Harness{Script: s, Seed: 1, Program: built, Dir: t.TempDir(), Out: &out}
				r, err := h.Run()
				require.NoError(t, err, out.String())
				require.NoError(t, r.Print(&out))
				if !assert.Empty(t, r.Violations) || testing.Verbose() {
					t.Log(out.String())
				}
				assert.Greater(t, r.Requests.Succeeded, r.Requests.Sent*9/10, "clients are served throughout")
			})
		}
	})
}

// leaseEntry returns a history entry of a front about the lease "list".
func leaseEntry(at int64, front, kind string, term uint64, since, until int64) fleet.HistoryEntry {
	return fleet.HistoryEntry{At: at, Front: front, Incarnation: 1, Kind: kind, Lease: "list", Term: term, Since: since, Until: until}
}

// Each faulty history violates one invariant, and the checks must report it.
func TestChecksFindFaultyHistories(t *testing.T) {
	good := []fleet.HistoryEntry{leaseEntry(10, "n1", "held", 1, 5, 100), leaseEntry(50, "n1", "kept", 1, 45, 145), leaseEntry(150, "n2", "held", 2, 140, 240)}
	for name, x := range map[string]struct {
		history []fleet.HistoryEntry
		want    string
	}{
		"good":               {good, ""},
		"two holders":        {append(good[:2:2], leaseEntry(120, "n2", "held", 2, 110, 210)), "was held by n1"},
		"two grants a term":  {[]fleet.HistoryEntry{{Kind: "granted", Lease: "list", Term: 3, Name: "n1"}, {Kind: "granted", Lease: "list", Term: 3, Name: "n2"}}, "two fronts were granted"},
		"an older broadcast": {[]fleet.HistoryEntry{{Kind: "came", Front: "n3", Lease: "list", Term: 3}, {Kind: "came", Front: "n3", Lease: "list", Term: 2}}, "a broadcast of an older term"},
		"a renewal too late": {append(good[:3:3], leaseEntry(190, "n1", "kept", 1, 180, 300)), "not linearizable"},
	} {
		t.Run(name, func(t *testing.T) {
			h := &Harness{Script: &Script{Duration: time.Second}}
			r := h.check(observations{began: time.UnixMicro(0), history: x.history})
			if x.want == "" {
				assert.Empty(t, r.Violations)
			} else {
				assert.Contains(t, strings.Join(r.Violations, "\n"), x.want)
			}
		})
	}
}

// A check of linearizability that runs out of time decides nothing; it must not pass. The acquisitions overlap, and
// that of term 0 fits nowhere, so all subsets of the others are tried.
func TestUndecidedLinearizabilityIsViolation(t *testing.T) {
	history := []fleet.HistoryEntry{leaseEntry(10, "n1", "held", 0, 5, 100)}
	for term := range uint64(24) {
		history = append(history, leaseEntry(10, "n1", "held", term+1, 5, 100))
	}
	c := &checker{observations: observations{history: history}, result: &Result{}}
	c.checkRegister("list", time.Millisecond)
	assert.Contains(t, strings.Join(c.result.Violations, "\n"), "the register of list: not decided within 1ms")
}

func TestChecksFindUnmetExpectations(t *testing.T) {
	h := &Harness{Script: &Script{}, expected: expectations{mustHalt: []string{"n1"}, unmet: []string{"n2 should have no leader"}}}
	r := h.check(observations{began: time.Now(), unsettled: "no front holds list"})
	assert.Len(t, r.Violations, 3)
}

func TestFrontThatDoesNotListenIsNotReady(t *testing.T) {
	var ports portBlock
	require.NoError(t, ports.reserve(2))
	defer ports.release()
	addresses, err := ports.take(1)
	require.NoError(t, err)
	h := &Harness{Script: &Script{WithoutFleet: true}, fronts: []*Front{{Name: "n1", clientAddress: addresses[0]}}}
	err = h.waitUntilReady(time.Millisecond)
	require.ErrorIs(t, err, errNotReady)
	assert.ErrorContains(t, err, "n1 does not listen")
}
