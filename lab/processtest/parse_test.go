package processtest

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/config"
)

func TestScriptErrorsNameTheirPosition(t *testing.T) {
	for text, want := range map[string]string{
		"(process-test (at 3s (stap n1 1s)))":            "x:1:22: unknown step stap; known are",
		"(process-test (at 3s (pause n9 1s)))":           "x:1:29: n9 does not select a front",
		"(process-test (at 3s (pause leaseholder 1s)))":  "x:1:29: leaseholder does not select a front",
		"(process-test (at 3s (pause leader:list 1s)))":  "x:1:29: leader:list does not select a front",
		"(process-test (at soon (pause n1 1s)))":         "x:1:19: soon is not a valid time",
		"(process-test (at 3s (pause n1)))":              "x:1:22: pause is incomplete; (pause FRONT FOR)",
		"(process-test (at 3s (transfer)))":              "x:1:22: transfer is incomplete; (transfer LEASE)",
		"(process-test (at 3s (publish window)))":        "x:1:22: publish is incomplete; (publish",
		"(process-test (fronts 2) (voters 3))":           "x:1:1: 3 voters and 2 fronts",
		"(process-test (frants 2))":                      "x:1:15: unknown setting frants",
		"(fronts 3)":                                     "fronts",
		"(process-test (at 1s (pause n1 1s) (kill n1)))": "x:1:36: kill is incomplete",
		"(rig (at 3s (stop n9 1s)))":                     "x:1:19: n9 does not select a front",
		"(rig (at 3s (stop n1)))":                        "x:1:13: stop is incomplete; (pause FRONT FOR)",
	} {
		_, err := Parse("x", []byte(text))
		assert.ErrorContains(t, err, want, text)
		var faults config.ErrorList
		assert.ErrorAs(t, err, &faults, text)
	}
}

func TestDeprecatedScriptNamesAreAccepted(t *testing.T) {
	read := func(name string) (*Script, string) {
		text, err := os.ReadFile("testdata/" + name)
		require.NoError(t, err)
		s, err := Parse(name, text)
		require.NoError(t, err)
		s.Name = ""
		for i := range s.Steps {
			s.Steps[i].Position = config.Position{}
		}
		return s, string(text)
	}
	earlier, earlierText := read("earlier-words.sexp")
	present, _ := read("present-words.sexp")
	assert.Equal(t, present, earlier)
	for _, words := range []map[string]string{{deprecatedFormName: formName}, deprecatedNames.settings, deprecatedNames.steps} {
		for word := range words {
			assert.Contains(t, earlierText, "("+word, "the script with deprecated names lacks one")
		}
	}
	for word := range deprecatedNames.selectors {
		assert.Contains(t, earlierText, " "+word, "the script with deprecated names lacks one")
	}
	kinds := map[string]bool{}
	for _, s := range present.Steps {
		kinds[s.Kind] = true
	}
	for kind := range stepKinds {
		assert.True(t, kinds[kind], "the scripts lack the step %s", kind)
	}
	assert.False(t, strings.Contains(earlierText, formName+" "), "the script with deprecated names uses the deprecated form")
}

func TestScriptsPageNamesEveryStep(t *testing.T) {
	page, err := os.ReadFile("../scripts/README.md")
	require.NoError(t, err)
	for kind, k := range stepKinds {
		form, meaning, _ := strings.Cut(k.help, "): ")
		assert.Contains(t, string(page), "- `"+form+")`: "+meaning+"\n", kind)
	}
}
