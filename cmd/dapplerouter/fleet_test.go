package main

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/adminapi"
)

// A deprecated command does the same as its replacement, and prints one warning that names the replacement.
func TestDeprecatedCommandsRunWithOneWarning(t *testing.T) {
	socket := adminAPI(t, "testdata/json/api")
	for _, c := range []struct {
		name     string
		old, new []string
	}{
		{"fleet leases", []string{"fleet", "duties"}, []string{"fleet", "leases"}},
		{"fleet transfer", []string{"fleet", "hand", "list", "--to", "n2"}, []string{"fleet", "transfer", "list", "--to", "n2"}},
		{"fleet voters", []string{"fleet", "keepers", "add", "n9", "10.0.0.9:7500"}, []string{"fleet", "voters", "add", "n9", "10.0.0.9:7500"}},
		{"fleet voters", []string{"fleet", "keepers", "remove", "n2"}, []string{"fleet", "voters", "remove", "n2"}},
	} {
		t.Run(c.old[1]+" "+c.old[len(c.old)-1], func(t *testing.T) {
			for _, format := range [][]string{nil, {"--json"}} {
				options := append([]string{"--control", socket}, format...)
				var warning, none bytes.Buffer
				oldExit, oldOut := standardOutputOf(t, append(c.old, options...), &warning)
				newExit, newOut := standardOutputOf(t, append(c.new, options...), &none)
				assert.Equal(t, newExit, oldExit)
				assert.Equal(t, newOut, oldOut)
				assert.NotEmpty(t, newOut)
				assert.Equal(t, 1, bytes.Count(warning.Bytes(), []byte("\n")), warning.String())
				assert.Contains(t, warning.String(), "use "+c.name+"\n")
				assert.Empty(t, none.String())
			}
		})
	}
}

func TestExitCodeDistinguishesRejectedFromUnreachable(t *testing.T) {
	socket := adminAPI(t, "testdata/json/api")
	var c adminClient
	assert.ErrorIs(t, c.get("/v1/fleet", nil), errNoControlSocket)
	c.Control = socket
	assert.Equal(t, exitNegative, c.postAndPrint("/v1/rejected", nil, ""))
	var rejected adminapi.RejectedError
	assert.ErrorAs(t, c.post("/v1/rejected", nil, nil), &rejected)
	c.Control += "-missing"
	assert.Equal(t, exitUnusable, c.postAndPrint("/v1/fleet/transfer", nil, ""))
}

func TestParseRolloutStages(t *testing.T) {
	for option, want := range map[string]string{"1,10%,50%,100%": "1,100,500,1000", "0.1%, 100%": "1,1000", "100%": "1000", "0.7%,2.3%,16.4%,32.3%,100%": "7,23,164,323,1000"} {
		got, err := parseStages(option)
		require.NoError(t, err, option)
		assert.Equal(t, want, got, option)
	}
	for option, want := range map[string]error{"1,10%": errLastStageNotAll, "50%,10%,100%": errStagesDecrease, "2,100%": errNotShare, "": errNotShare,
		"0%,100%": errNotShare, "101%": errNotShare, "-1%,100%": errNotShare, "NaN%": errNotShare, "Inf%": errNotShare,
		"0.01%,100%": errShareTooFine, "0.15%,100%": errShareTooFine, "33.33%,100%": errShareTooFine, "99.99%": errShareTooFine} {
		_, err := parseStages(option)
		assert.ErrorIs(t, err, want, option)
	}
	_, err := parseShare("1")
	assert.ErrorIs(t, err, errNotShare, "1 stands for a single front only in --waves")
}

func TestAuditCommandsNeedLogs(t *testing.T) {
	c := &auditAtCommand{Time: "2026-12-01T18:00:02Z"}
	_, err := c.open()
	assert.ErrorIs(t, err, errNoAuditFolder)
	c.Dir = []string{t.TempDir()}
	_, _, err = c.read()
	assert.ErrorIs(t, err, errNoAuditLogs)
	assert.Equal(t, exitUnusable, c.run())
	c.Dir = []string{"testdata/audit"}
	c.Time = "2020-01-01T00:00:00Z"
	exit, _ := standardOutputOf(t, []string{"fleet", "audit", "at", c.Time, "--dir", "testdata/audit"}, io.Discard)
	assert.Equal(t, exitNegative, exit, "the logs have no entries for that time")
}
