package config

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// read parses a text, passes its decoder to use, and returns the first error: of the parser, or else of the decoder.
func read(text string, use func(*Decoder)) error {
	f, err := Parse("f", []byte(text))
	if err != nil {
		return err
	}
	d := f.NewDecoder()
	use(d)
	return d.Err()
}

func TestFormsWithUnits(t *testing.T) {
	require.NoError(t, read("; a comment (\n(cache 8MiB) (wait 200ms) (names a \"B \\\"c\\\"\" d) (pick on)", func(d *Decoder) {
		forms := d.Forms("cache", "wait", "names", "pick")
		assert.EqualValues(t, 8<<20, forms["cache"].Size(1, 1<<30))
		assert.Equal(t, 200*time.Millisecond, forms["wait"].Duration())
		atoms := forms["names"].Atoms()
		assert.Equal(t, []string{"a", `B "c"`, "d"}, []string{atoms[0].Name, atoms[1].Name, atoms[2].Name})
		assert.True(t, atoms[1].Quoted)
		assert.Equal(t, "on", forms["pick"].Choice("on", "off"))
	}))
}

func TestErrorsNamePositionAndRemedy(t *testing.T) {
	readAll := func(d *Decoder) {
		forms := d.Forms("cache", "wait", "names", "pick")
		for name, f := range forms {
			switch name {
			case "cache":
				f.Size(64<<10, 1<<30)
			case "wait":
				f.Duration()
			case "names":
				f.Atoms()
			case "pick":
				f.Choice("on", "off")
			}
		}
	}
	for text, want := range map[string]string{
		"(cache 8)":                 "f:1:8: 8 has no unit; 8MiB was likely meant",
		"(cache 8MB)":               "f:1:8: 8MB is no size; a size is a whole number with KiB, MiB or GiB, as in 8MiB",
		"(cache 1B)":                "f:1:8: 1B is out of range; between 64KiB and 1GiB",
		"\n  (wait 3)":              "f:2:9: 3 has no unit; 3s was likely meant",
		"(wait 200)":                "f:1:7: 200 has no unit; 200ms was likely meant",
		"(wait -3s)":                "f:1:7: -3s is no time; a time is a number above 0 with us, ms, s, m or h, as in 200ms",
		"(cahce 8MiB)":              "f:1:1: the file has no form cahce; cache was likely meant",
		"(cache 1MiB) (cache 2MiB)": "f:1:14: cache stands twice in the file, first at f:1:1; keep one of the two",
		"(pick no)":                 "f:1:7: pick has no value no; known are on, off",
		"(names)":                   "f:1:1: names names nothing; name one, or leave the form out",
		"(names (a))":               "f:1:8: a list stands in names where a name belongs; write it without parentheses",
		"cache":                     "f:1:1: cache stands in the file where a form belongs; a form is (name ...)",
		"()":                        "f:1:1: an empty list stands in the file where a form belongs; a form is (name ...)",
		"(cache 8MiB":               "f:1:12: the file ends within a list; a ) is missing",
		"(cache 8MiB))":             "f:1:13: a ) without its (; take it away, or open the list that it ends",
		"(names \"a\nb\")":          "f:1:8: a text that begins here has no end; end it with \" on the same line",
		"(wait)":                    "f:1:1: wait wants one value; write (wait VALUE)",
	} {
		err := read(text, readAll)
		if assert.Error(t, err, text) {
			assert.Equal(t, want, err.Error(), text)
		}
	}
	err := read("(cache 8)\n(wait 3)", readAll)
	var list ErrorList
	require.ErrorAs(t, err, &list)
	assert.Len(t, list, 2, "one run reports all errors")
	_, err = Parse("f", []byte(strings.Repeat("(", 100)))
	assert.ErrorContains(t, err, "f:1:65: lists too deep")
	_, err = Parse("f", make([]byte, 2<<20))
	assert.ErrorContains(t, err, "at most 1 MiB")
}

func FuzzParse(f *testing.F) {
	f.Add("(classing (cache 8MiB) (types (a (class read))))")
	f.Fuzz(func(t *testing.T, text string) {
		file, err := Parse("f", []byte(text))
		if err == nil {
			for _, form := range file.NewDecoder().Forms("classing") {
				form.Subforms()
			}
		}
	})
}
