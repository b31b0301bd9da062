package main

import (
	"encoding/json"
	"io"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/adminapi"
)

// explanation matches an explanatory text in a line of JSON. The texts may change between versions; their keys may not.
var explanation = regexp.MustCompile(`"(what|remedy|why|fault)":"(?:\\.|[^"\\])+"`)

// TestCommandsWriteTheSameJSON compares the output of --json with the recorded output of version 0.3.0. The admin API is a fake that
// returns recorded responses of that version.
func TestCommandsWriteTheSameJSON(t *testing.T) {
	socket := adminAPI(t, "testdata/json/api")
	for _, c := range []struct {
		name string
		args []string
		exit int
	}{
		{"fleet-status", []string{"fleet", "status", "--json", "--control", socket}, exitOK},
		{"fleet-leases", []string{"fleet", "leases", "--json", "--control", socket}, exitNegative},
		{"fleet-transfer", []string{"fleet", "transfer", "list", "--to", "n2", "--json", "--control", socket}, exitOK},
		{"fleet-publish", []string{"fleet", "publish", "testdata/json/rules.sexp", "--json", "--control", socket}, exitOK},
		{"fleet-roll-status", []string{"fleet", "roll", "status", "--json", "--control", socket}, exitNegative},
		{"fleet-roll-back", []string{"fleet", "roll", "back", "--why", "slower", "--json", "--control", socket}, exitOK},
		{"fleet-voters-add", []string{"fleet", "voters", "add", "n9", "10.0.0.9:7500", "--json", "--control", socket}, exitOK},
		{"fleet-voters-remove", []string{"fleet", "voters", "remove", "n2", "--json", "--control", socket}, exitOK},
		{"fleet-voters-recover", []string{"fleet", "voters", "recover", "--reason", "disks", "--confirm", "--json", "--control", socket}, exitNegative},
		{"audit-at", []string{"fleet", "audit", "at", "2026-12-01T18:00:02Z", "--json", "--dir", "testdata/audit"}, exitOK},
		{"audit-request", []string{"fleet", "audit", "request", "t2-1", "--json", "--dir", "testdata/audit"}, exitOK},
		{"audit-front", []string{"fleet", "audit", "front", "n1", "--json", "--dir", "testdata/audit"}, exitOK},
		{"audit-versions", []string{"fleet", "audit", "versions", "--json", "--dir", "testdata/audit"}, exitOK},
		{"audit-verify", []string{"fleet", "audit", "verify", "--json", "--dir", "testdata/audit"}, exitNegative},
		{"check", []string{"check", "--json", "testdata/json/faults.sexp"}, exitNegative},
		{"classify", []string{"classify", "--json", "testdata/json/statements"}, exitNegative},
		{"keys-show", []string{"keys", "show", "--json", "testdata/json/pokhara.crt"}, exitOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			want, err := os.ReadFile(filepath.Join("testdata/json", c.name+".jsonl"))
			require.NoError(t, err)
			exit, out := standardOutputOf(t, c.args, io.Discard)
			assert.Equal(t, c.exit, exit)
			assert.Equal(t, string(want), explanation.ReplaceAllString(out, `"$1":"..."`))
		})
	}
}

// adminAPI starts an admin API that returns the files of a folder as responses, and returns the path of its socket.
func adminAPI(t *testing.T, folder string) (socket string) {
	t.Helper()
	dir, err := os.MkdirTemp("", "ctl") // not t.TempDir: the length of a Unix socket's path is limited
	require.NoError(t, err)
	t.Cleanup(func() { os.RemoveAll(dir) })
	socket = filepath.Join(dir, "s")
	s, err := adminapi.Listen(socket)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	respond := func(name string) func(url.Values) (any, error) {
		return func(url.Values) (any, error) {
			text, err := os.ReadFile(filepath.Join(folder, name+".json"))
			return json.RawMessage(text), err
		}
	}
	s.HandleGet("/v1/fleet", respond("status"))
	s.HandleGet("/v1/fleet/roll", respond("roll"))
	s.HandleGet("/v1/fleet/voters/recovery", respond("recovery"))
	s.HandlePost("/v1/fleet/voters/recover", respond("recover"))
	for _, path := range []string{"/v1/fleet/transfer", "/v1/fleet/roll", "/v1/fleet/voters/add", "/v1/fleet/voters/remove"} {
		s.HandlePost(path, respond("changed"))
	}
	s.HandlePost("/v1/rejected", func(url.Values) (any, error) { return nil, adminapi.RejectedError("nobody holds it") })
	s.Start()
	return socket
}

// standardOutputOf runs a command line in this process. It returns the exit code and the standard output, in which paths in the package's
// folder are relative.
func standardOutputOf(t *testing.T, args []string, errorOutput io.Writer) (exit int, out string) {
	t.Helper()
	r, w, err := os.Pipe()
	require.NoError(t, err)
	defer r.Close()
	text := make(chan []byte, 1)
	go func() {
		b, _ := io.ReadAll(r)
		text <- b
	}()
	previous := os.Stdout
	os.Stdout = w
	exit = runCommandLine(args, errorOutput)
	os.Stdout = previous
	w.Close()
	folder, err := os.Getwd()
	require.NoError(t, err)
	return exit, strings.ReplaceAll(string(<-text), folder+"/", "")
}
