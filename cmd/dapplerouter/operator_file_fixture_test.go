package main

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestOperatorFilesReadAsBefore reads operator's files with the form names of version 0.3.0, taken from deploy/dapplerouter.sexp and
// docs/operate, and compares their settings with those that version 0.3.0 read.
func TestOperatorFilesReadAsBefore(t *testing.T) {
	files, err := filepath.Glob("testdata/forms/*.sexp")
	require.NoError(t, err)
	require.Len(t, files, 6)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".sexp"), func(t *testing.T) {
			o, err := readOperatorFile(file)
			require.NoError(t, err)
			want, err := os.ReadFile(strings.TrimSuffix(file, ".sexp") + ".json")
			require.NoError(t, err)
			assert.Equal(t, string(want), operatorAsJSON(t, o))
		})
	}
}

// operatorAsJSON encodes the settings of an operator's file as JSON, with keys that don't depend on names in the code.
func operatorAsJSON(t *testing.T, o *operatorConfig) string {
	t.Helper()
	all := map[string]any{}
	if c := o.classing; c != nil {
		var rules []map[string]any
		for i, r := range c.Rules {
			rules = append(rules, map[string]any{"type": r.RequestType, "class": r.Class.String(), "verbs": r.Verbs, "tables": r.Tables, "below": r.MaxEstimate.String(),
				"above": r.MinEstimate.String(), "place": c.RulePositions[i].String()})
		}
		statements := "SELECT seat_name(1)\nSELECT geo.distance(1)\nSELECT next_seat(1)\nSELECT * FROM busy_view\nSELECT a.house FROM slots a\nSELECT unknown_one(1)\n"
		classifier := &statementClassifier{c.NewClassifier()}
		var classes []string
		_, err := classifier.classifyAll(strings.NewReader(statements), true, func(r classification) { classes = append(classes, r.Class+" "+r.RequestType+" "+r.Reason) })
		require.NoError(t, err)
		all["classing"] = map[string]any{"bytes": c.CacheBytes, "undeclared": int(c.UndeclaredWrites), "rules": rules, "place": o.classingPosition.String(), "classes": classes}
	}
	if g := o.gateway; g != nil {
		s := g.Settings
		all["gateway"] = map[string]any{"here": g.LocalSite, "peer": g.PeerSite, "address": g.Address, "listen": g.Listen, "groups": g.Groups,
			"keys": []string{g.KeyFile, g.CertificateFile, g.TrustFile}, "place": g.Position.String(),
			"times": []string{s.HeartbeatInterval.String(), s.PeerTimeout.String(), s.RecoveryTimeout.String(), s.OutcomeRetention.String()},
			"sizes": []int64{int64(s.MaxInFlight), s.CreditBytes, s.MaxRetainedBytes}}
	}
	if f := o.fleet; f != nil {
		var voters []string
		for _, v := range f.InitialVoters {
			voters = append(voters, v.Name+" "+v.Address)
		}
		all["fleet"] = map[string]any{"id": f.ID, "listen": f.Listen, "address": f.Address, "voters": voters, "voter_file": f.VoterPath, "joins": f.JoinsExistingFleet,
			"lease_duration": f.LeaseDuration.String(), "accepts_leases": f.AcceptsLeases, "keys": []string{f.Key, f.Certificate, f.Trust},
			"control": f.Control, "history": f.History, "reach": f.AddressOverrides, "place": f.Position.String()}
	}
	if r := o.rollout; r != nil {
		lease, err := r.ConfigLeaseFor(o.fleet.LeaseDuration)
		require.NoError(t, err)
		all["roll"] = map[string]any{"lease": lease.String(), "stop": r.StopWhenIsolated, "within": r.InForceWithin.String(), "dir": r.Dir, "place": r.Position.String()}
	}
	if a := o.audit; a != nil {
		all["audit"] = map[string]any{"folders": []string{a.LogDir, a.ExportDir, a.CollectDir}, "sizes": []int64{a.MaxTotalBytes, a.SegmentBytes, a.CollectBytesPerSecond},
			"clock_error": a.MaxClockError.String(), "place": a.Position.String()}
	}
	if r := o.rules; r != nil {
		all["rules"] = map[string]any{"bounds": r.MaxStaleness, "windows": r.DedupWindows, "given_up": r.RejectedGroups}
	}
	text, err := json.MarshalIndent(all, "", " ")
	require.NoError(t, err)
	return string(text) + "\n"
}

// Files with the current form names give the same settings as with the deprecated names of version 0.3.0. The deprecated names cause one
// warning, the current ones none.
func TestCurrentFormNamesReadLikeDeprecatedOnes(t *testing.T) {
	var log bytes.Buffer
	previous := slog.Default()
	t.Cleanup(func() { slog.SetDefault(previous) })
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	currentNames := strings.NewReplacer("(keepers ", "(voters ", "(keeper ", "(voter ", "(span ", "(lease-duration ", "(duties ", "(leases ")
	for _, name := range []string{"rolling", "fleet", "defaults"} {
		t.Run(name, func(t *testing.T) {
			log.Reset()
			deprecated, err := readOperatorFile("testdata/forms/" + name + ".sexp")
			require.NoError(t, err)
			assert.Equal(t, 1, strings.Count(log.String(), "deprecated forms in the operator's file"), log.String())
			log.Reset()
			text, err := os.ReadFile("testdata/forms/" + name + ".sexp")
			require.NoError(t, err)
			t.Chdir(t.TempDir()) // so that positions have the same file name
			require.NoError(t, os.MkdirAll("testdata/forms", 0o700))
			require.NoError(t, os.WriteFile("testdata/forms/"+name+".sexp", []byte(currentNames.Replace(string(text))), 0o600))
			o, err := readOperatorFile("testdata/forms/" + name + ".sexp")
			require.NoError(t, err)
			assert.Empty(t, log.String())
			assert.Equal(t, operatorAsJSON(t, deprecated), operatorAsJSON(t, o))
		})
	}
}

// shownForm matches the first line of a form that stands in a comment or in an indented block of documentation.
var shownForm = regexp.MustCompile(`(?m)^(?:; | {4,})\((classing|gateway|fleet)\b`)

// The example forms in deploy/dapplerouter.sexp and docs/operate are valid and use no deprecated names.
func TestFormsShownToOperatorsAreValid(t *testing.T) {
	var log bytes.Buffer
	previous := slog.Default()
	t.Cleanup(func() { slog.SetDefault(previous) })
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	for file, forms := range map[string]int{"deploy/dapplerouter.sexp": 3, "docs/operate/classing.md": 1, "docs/operate/gateway.md": 1, "docs/operate/fleet.md": 1} {
		text, err := os.ReadFile("../../" + file)
		require.NoError(t, err)
		found := 0
		for _, block := range strings.Split(strings.ReplaceAll(string(text), "\n;\n", "\n\n"), "\n\n") {
			begin := shownForm.FindStringIndex(block)
			if begin == nil {
				continue
			}
			found++
			path := filepath.Join(t.TempDir(), "operator.sexp")
			form := regexp.MustCompile(`(?m)^; ?`).ReplaceAllString(block[begin[0]:], "")
			require.NoError(t, os.WriteFile(path, []byte(form), 0o600))
			_, err := readOperatorFile(path)
			assert.NoError(t, err, file)
		}
		assert.Equal(t, forms, found, file)
	}
	assert.Empty(t, log.String())
}
