package adminapi

import (
	"bytes"
	"log/slog"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// socketDir returns a temporary directory with a short path, because the path length of a Unix socket is limited.
func socketDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "ctl")
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, os.RemoveAll(dir)) })
	return dir
}

func TestSocketPermissionsAndAnswers(t *testing.T) {
	dir := socketDir(t)
	path := filepath.Join(dir, "s")
	s, err := Listen(path)
	require.NoError(t, err)
	s.HandleGet("/x", func(q url.Values) (any, error) { return map[string]string{"said": q.Get("word")}, nil })
	s.HandlePost("/x", func(url.Values) (any, error) { return nil, RejectedError("nobody holds it") })
	s.Start()
	info, err := os.Stat(path)
	require.NoError(t, err)
	assert.Equal(t, os.FileMode(0o600), info.Mode().Perm())
	var out map[string]string
	require.NoError(t, Call(path, "GET", "/x", url.Values{"word": {"a b"}}, &out))
	assert.Equal(t, "a b", out["said"])
	err = Call(path, "POST", "/x", nil, &out)
	assert.Equal(t, RejectedError("nobody holds it"), err)
	err = Call(path, "GET", "/y", nil, &out)
	assert.ErrorContains(t, err, "404")
	assert.ErrorIs(t, err, ErrUnknownPath)
	err = Call(path, "PUT", "/x", nil, &out)
	assert.ErrorIs(t, err, ErrUnexpectedAnswer)
	assert.ErrorContains(t, err, "405")

	_, err = Listen(path)
	assert.ErrorContains(t, err, "in use by another process")
	assert.ErrorIs(t, err, ErrSocketInUse)
	s.listener.(interface{ SetUnlinkOnClose(bool) }).SetUnlinkOnClose(false)
	require.NoError(t, s.http.Close()) // leaves the socket behind, as a killed process does
	replacement, err := Listen(path)
	require.NoError(t, err, "the socket of a dead process is replaced")
	replacement.Start()
	replacement.Close()
	assert.NoFileExists(t, path)
	err = Call(path, "GET", "/x", nil, &out)
	assert.ErrorContains(t, err, "no front answers at")
	assert.ErrorIs(t, err, ErrNoFront)
	_, err = Listen(filepath.Join(dir, strings.Repeat("x", 120)))
	assert.ErrorContains(t, err, "name a shorter one")
	assert.ErrorIs(t, err, ErrPathTooLong)
}

func TestDeprecatedPathIsServedWithOneWarning(t *testing.T) {
	var log bytes.Buffer
	defaultLogger := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	t.Cleanup(func() { slog.SetDefault(defaultLogger) })
	path := filepath.Join(socketDir(t), "s")
	s, err := Listen(path)
	require.NoError(t, err)
	defer s.Close()
	transfer := func(q url.Values) (any, error) { return map[string]string{"to": q.Get("to")}, nil }
	s.HandlePost("/new", transfer)
	s.HandleDeprecatedPost("/old", "/new", transfer)
	s.Start()
	for _, request := range []string{"/new", "/old", "/old", "/new"} {
		var out map[string]string
		require.NoError(t, Call(path, "POST", request, url.Values{"to": {"n2"}}, &out))
		assert.Equal(t, map[string]string{"to": "n2"}, out, request)
	}
	assert.Equal(t, 1, strings.Count(log.String(), "level=WARN"), log.String())
	assert.Contains(t, log.String(), "path=/old replacement=/new")
}

// A Server that was never started is closed as well: its socket neither stays open nor in the folder.
func TestCloseWithoutStartClosesSocket(t *testing.T) {
	path := filepath.Join(socketDir(t), "s")
	s, err := Listen(path)
	require.NoError(t, err)
	s.Close()
	assert.NoFileExists(t, path)
	assert.ErrorIs(t, s.listener.(*net.UnixListener).SetDeadline(time.Now()), net.ErrClosed, "the listener is closed")
	again, err := Listen(path)
	require.NoError(t, err)
	again.Close()
}
