package adminapi

import (
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestTheDoorIsItsOwnersAndAnswersOrSaysWhyNot(t *testing.T) {
	dir, err := os.MkdirTemp("", "ctl") // short: a Unix socket's name has its limit
	require.NoError(t, err)
	defer os.RemoveAll(dir)
	path := filepath.Join(dir, "s")
	s, err := Listen(path)
	require.NoError(t, err)
	s.HandleGet("/x", func(q url.Values) (any, error) { return map[string]string{"said": q.Get("word")}, nil })
	s.HandlePost("/x", func(url.Values) (any, error) { return nil, RejectedError("nobody holds it") })
	s.Start()
	at, err := os.Stat(path)
	require.NoError(t, err)
	assert.Equal(t, os.FileMode(0o600), at.Mode().Perm())
	var out map[string]string
	require.NoError(t, Call(path, "GET", "/x", url.Values{"word": {"a b"}}, &out))
	assert.Equal(t, "a b", out["said"])
	err = Call(path, "POST", "/x", nil, &out)
	assert.Equal(t, RejectedError("nobody holds it"), err)
	assert.ErrorContains(t, Call(path, "GET", "/y", nil, &out), "404")

	_, err = Listen(path)
	assert.ErrorContains(t, err, "in use by another process")
	s.l.(interface{ SetUnlinkOnClose(bool) }).SetUnlinkOnClose(false)
	s.http.Close() // as a process that was killed leaves it
	again, err := Listen(path)
	require.NoError(t, err, "what a dead process left behind is taken away")
	again.Close()
	assert.ErrorContains(t, Call(path, "GET", "/x", nil, &out), "no front answers at")
	_, err = Listen(filepath.Join(dir, strings.Repeat("x", 120)))
	assert.ErrorContains(t, err, "name a shorter one")
}
