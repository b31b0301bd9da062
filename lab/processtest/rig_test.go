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
)

// program builds the front once, as it is run.
func program(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "dapplerouter")
	out, err := exec.Command("go", "build", "-o", path, "../../cmd/dapplerouter").CombinedOutput()
	require.NoError(t, err, string(out))
	return path
}

// TestScripts plays every script once, a few side by side.
func TestScripts(t *testing.T) {
	if testing.Short() {
		t.Skip("processes are started")
	}
	if raceOn {
		t.Skip("the same processes are started without the race detector")
	}
	built := program(t)
	scripts, err := filepath.Glob("../scripts/*.sexp")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(scripts), 12)
	room := make(chan struct{}, 4)
	t.Run("all", func(t *testing.T) {
		for _, path := range scripts {
			t.Run(strings.TrimSuffix(filepath.Base(path), ".sexp"), func(t *testing.T) {
				t.Parallel()
				room <- struct{}{}
				defer func() { <-room }()
				s, err := Load(path)
				require.NoError(t, err)
				var said bytes.Buffer
				r := &Rig{Script: s, Seed: 1, Program: built, Dir: t.TempDir(), Out: &said}
				v, err := r.Run()
				require.NoError(t, err, said.String())
				v.Print(&said)
				if !assert.Empty(t, v.Broke) || testing.Verbose() {
					t.Log(said.String())
				}
				assert.Greater(t, v.Succeeded, v.Requests*9/10, "service goes on")
			})
		}
	})
}

func TestScriptsThatMakeNoSenseAreToldAtTheirPlace(t *testing.T) {
	for text, want := range map[string]string{
		"(rig (at 3s (stap n1 1s)))":           "x:1:13: nothing is called stap; known are",
		"(rig (at 3s (stop n9 1s)))":           "x:1:19: n9 is no front",
		"(rig (at soon (stop n1 1s)))":         "x:1:10: soon is no time",
		"(rig (at 3s (stop n1)))":              "x:1:13: stop is not whole; (stop FRONT FOR)",
		"(rig (fronts 2) (keepers 3))":         "x:1:1: 3 keepers of 2 fronts",
		"(rig (frants 2))":                     "x:1:6: a rig has no frants",
		"(fronts 3)":                           "fronts",
		"(rig (at 1s (stop n1 1s) (kill n1)))": "x:1:26: kill is not whole",
	} {
		_, err := Parse("x", []byte(text))
		assert.ErrorContains(t, err, want, text)
	}
}

func moment(at int64, front, what string, term uint64, since, until int64) HistoryLine {
	return HistoryLine{At: at, Front: front, Incarnation: 1, Kind: what, Lease: "list", Term: term, Since: since, Until: until}
}

// The checkers must be able to fail: histories that are wrong, each in its own way.
func TestTheJudgeFindsWhatIsWrong(t *testing.T) {
	good := []HistoryLine{moment(10, "n1", "held", 1, 5, 100), moment(50, "n1", "kept", 1, 45, 145), moment(150, "n2", "held", 2, 140, 240)}
	for name, x := range map[string]struct {
		all  []HistoryLine
		want string
	}{
		"good":            {good, ""},
		"two at a time":   {append(good[:2:2], moment(120, "n2", "held", 2, 110, 210)), "was held by n1"},
		"two in one term": {[]HistoryLine{{Kind: "granted", Lease: "list", Term: 3, Name: "n1"}, {Kind: "granted", Lease: "list", Term: 3, Name: "n2"}}, "two fronts were granted"},
		"an older act": {[]HistoryLine{{Kind: "came", Front: "n3", Lease: "list", Term: 3}, {Kind: "came", Front: "n3", Lease: "list", Term: 2}},
			"an act of an older term"},
		"a late renewal": {append(good[:3:3], moment(190, "n1", "kept", 1, 180, 300)), "not linearizable"},
	} {
		r := &Rig{Script: &Script{For: time.Second}}
		v := r.judge(time.UnixMicro(0), nil, x.all, nil, "")
		if x.want == "" {
			assert.Empty(t, v.Broke, name)
		} else {
			assert.Contains(t, strings.Join(v.Broke, "\n"), x.want, name)
		}
	}
	v := (&Rig{Script: &Script{}, mustHalt: []string{"n1"}, unmet: []string{"n2 should hear no leader"}}).judge(time.Now(), nil, nil, nil, "nobody holds list")
	assert.Len(t, v.Broke, 3)
}
