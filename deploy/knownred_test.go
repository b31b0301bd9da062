// Package deploy holds how the programs are built, started and checked; its tests are of the scripts.
package deploy

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// knownRed runs the script on a file's text.
func knownRed(t *testing.T, text string) (pattern, told string, ok bool) {
	dir := t.TempDir()
	file, names := filepath.Join(dir, "KNOWN-RED.txt"), filepath.Join(dir, "names")
	if text != "" {
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	}
	require.NoError(t, os.WriteFile(names, []byte("TestA\nTestAB\nTestC\nTestD\nTestTwice\nok  \tp\t0.1s\nTestTwice\n"), 0o600))
	cmd := exec.Command("../.ci/known-red", file, names)
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	ok = cmd.Run() == nil
	return out.String(), errs.String(), ok
}

func TestOnlyTestsKnownToFailArePassedOver(t *testing.T) {
	for text, want := range map[string]string{
		"":                 "",
		"# none\n\n":       "",
		"TestA | c | 37\n": "^(TestA)$\n",
		"TestA | a member forgets | #37\nTestC | c | 2\nTestD | c | 3": "^(TestA|TestC|TestD)$\n",
	} {
		pattern, told, ok := knownRed(t, text)
		require.True(t, ok, told)
		assert.Equal(t, want, pattern)
	}
	_, told, _ := knownRed(t, "TestA | a member forgets | #37\n")
	assert.Contains(t, told, "TestA, since a member forgets (issue 37)")
	for text, why := range map[string]string{
		"TestA | c | 1\nTestC | c | 1\nTestD | c | 1\nTestAB | c | 1\n": "more than three",
		"TestZ | c | 1\n":     "0 tests are named TestZ",
		"TestTwice | c | 1\n": "2 tests are named",
		"TestA\n":             "not of the form",
		"TestA | c\n":         "not of the form",
		"TestA | c | soon\n":  "not of the form",
		"TestA/sub | c | 1\n": "not of the form",
		".* | everything | 1": "not of the form",
		"TestA|c|1":           "not of the form",
		"TestA | | 1":         "not of the form",
	} {
		_, told, ok := knownRed(t, text)
		assert.False(t, ok, text)
		assert.Contains(t, told, why)
	}
}
