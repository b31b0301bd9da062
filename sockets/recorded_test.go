package sockets

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// recorded reads a file of recorded bytes: a name and a quoted string on each line, parted by a tab.
func recorded(t *testing.T, file string) map[string]string {
	t.Helper()
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	all := map[string]string{}
	for line := range strings.Lines(string(text)) {
		name, quoted, ok := strings.Cut(strings.TrimSuffix(line, "\n"), "\t")
		require.True(t, ok, line)
		all[name], err = strconv.Unquote(quoted)
		require.NoError(t, err, line)
	}
	return all
}

// assertRecorded compares what was sent under a name with what the file has for it.
func assertRecorded(t *testing.T, file, name, got string) {
	t.Helper()
	want, ok := recorded(t, file)[name]
	assert.True(t, ok && want == got, "%s: recorded %q\nsent:\n%s\t%q", name, want, name, got)
}
