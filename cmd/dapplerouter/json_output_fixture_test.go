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

// explanation is a text for people within a line of JSON, of which only the key is kept as it is.
var explanation = regexp.MustCompile(`"(what|remedy|why|fault)":"(?:\\.|[^"\\])+"`)

// TestCommandsWriteTheSameJSON compares what --json writes with what version 0.3.0 wrote, over an admin API that answers as that version did.
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

// adminAPI serves the files of a folder as a front's admin API; it gives the socket.
func adminAPI(t *testing.T, folder string) (socket string) {
	t.Helper()
	dir, err := os.MkdirTemp("", "ctl") // short: a Unix socket's path has its limit
	require.NoError(t, err)
	t.Cleanup(func() { os.RemoveAll(dir) })
	socket = filepath.Join(dir, "s")
	s, err := adminapi.Listen(socket)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	answer := func(name string) func(url.Values) (any, error) {
		return func(url.Values) (any, error) {
			text, err := os.ReadFile(filepath.Join(folder, name+".json"))
			return json.RawMessage(text), err
		}
	}
	s.HandleGet("/v1/fleet", answer("status"))
	s.HandleGet("/v1/fleet/roll", answer("roll"))
	s.HandleGet("/v1/fleet/voters/recovery", answer("recovery"))
	s.HandlePost("/v1/fleet/voters/recover", answer("recover"))
	for _, path := range []string{"/v1/fleet/transfer", "/v1/fleet/roll", "/v1/fleet/voters/add", "/v1/fleet/voters/remove"} {
		s.HandlePost(path, answer("changed"))
	}
	s.HandlePost("/v1/rejected", func(url.Values) (any, error) { return nil, adminapi.RejectedError("nobody holds it") })
	s.Start()
	return socket
}

// standardOutputOf runs a command line of the program; paths are shown from the package's folder.
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
	was := os.Stdout
	os.Stdout = w
	exit = runCommandLine(args, errorOutput)
	os.Stdout = was
	w.Close()
	folder, err := os.Getwd()
	require.NoError(t, err)
	return exit, strings.ReplaceAll(string(<-text), folder+"/", "")
}
