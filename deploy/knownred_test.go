// Package deploy holds how the programs are built, started and checked. Its tests test the scripts.
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

// runKnownRed runs the script known-red on a file with the given text, and returns its standard output and error.
func runKnownRed(t *testing.T, text string) (pattern, report string, ok bool) {
	dir := t.TempDir()
	knownRedFile, testNames := filepath.Join(dir, "KNOWN-RED.txt"), filepath.Join(dir, "names")
	if text != "" {
		require.NoError(t, os.WriteFile(knownRedFile, []byte(text), 0o600))
	}
	require.NoError(t, os.WriteFile(testNames, []byte("TestA\nTestAB\nTestC\nTestD\nTestTwice\nok  \tp\t0.1s\nTestTwice\n"), 0o600))
	cmd := exec.Command("../.ci/known-red", knownRedFile, testNames)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	ok = cmd.Run() == nil
	return stdout.String(), stderr.String(), ok
}

func TestOnlyTestsKnownToFailAreSkipped(t *testing.T) {
	for text, want := range map[string]string{
		"":                                  "",
		"# none\n\n":                        "",
		"TestA | go test -run A | c | 37\n": "^TestA$\n",
		"TestA | go test -run A, seed 3 | a server forgets | #37\nTestC | x | c | 2\nTestD | x | c | 3\nTestAB | x | c | 3": "^TestA$|^TestC$|^TestD$|^TestAB$\n",
		"TestC/seed_1.7 | SOAK_FIRST=17 go test | c | 2\nTestA | x | c | 3":                                                 "^TestC$/^seed_1\\.7$|^TestA$\n",
	} {
		pattern, report, ok := runKnownRed(t, text)
		require.True(t, ok, report)
		assert.Equal(t, want, pattern)
	}
}

func TestEachSkippedTestIsReportedWithItsCommand(t *testing.T) {
	_, report, _ := runKnownRed(t, "TestA | go test -run A, seed 3 | a server forgets | #37\nTestC | x | late | 2\n")
	assert.Contains(t, report, "TestA (issue 37): a server forgets; to see it: go test -run A, seed 3\n")
	assert.Contains(t, report, "TestC (issue 2): late; to see it: x\n")
}

func TestMalformedEntryOfKnownFailuresIsAnError(t *testing.T) {
	for text, message := range map[string]string{
		"TestZ | x | c | 1\n":                    "0 tests are named TestZ",
		"TestTwice | x | c | 1\n":                "2 tests are named",
		"TestA | x | c | 1\nTestA | y | d | 1\n": "TestA has two entries",
		"TestA\n":                                "not of the form",
		"TestA | c\n":                            "not of the form",
		"TestA | c | 1\n":                        "not of the form", // the form of earlier versions, without a command
		"TestA | x | c | soon\n":                 "not of the form",
		"TestA | x | c | 1 | 2\n":                "not of the form",
		".* | x | everything | 1":                "not of the form",
		"TestA/.* | x | everything | 1":          "not of the form",
		"TestA|x|c|1":                            "not of the form",
		"TestA | | c | 1":                        "not of the form",
		"TestA | x | | 1":                        "not of the form",
	} {
		_, report, ok := runKnownRed(t, text)
		assert.False(t, ok, text)
		assert.Contains(t, report, message)
	}
}
