package sqlclass

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// These tests guard against two failures in which a statement that writes was classified as a read.
//
// A quoted name was taken for a listed name with other capitals. The server distinguishes "Seat_Name" from seat_name: the quoted
// name may be a function that writes, or may call one in field notation.
//
// Two texts that differed only in a bracket had the same normal form, so the cached class of one was used for the other. No
// server accepts SELECT lower(1], next_seat[1), and it calls only functions that read. After it, SELECT lower[1], next_seat(1)
// was a read too, although next_seat writes. It would have been sent to a replica and retried after a failure.

func TestQuotedFieldIsNotAListedNameInOtherCapitals(t *testing.T) {
	c := New(Options{CacheBytes: 1 << 20, Lists: NewNameLists([]string{"seat_name"}, []string{"next_seat"}, []string{"diner"})})
	for text, want := range map[string]Class{
		`SELECT (x).seat_name FROM s x`:   Read,
		`SELECT (x).SEAT_NAME FROM s x`:   Read,
		`SELECT (x)."seat_name" FROM s x`: Read,
		`SELECT (x)."Seat_Name" FROM s x`: Unknown,
		`SELECT x."Seat_Name" FROM s x`:   Unknown,
		`SELECT x."Diner" FROM s x`:       Unknown,
		`SELECT x."diner" FROM s x`:       Read,
		`SELECT (x)."Next_Seat" FROM s x`: Write, // stricter than Unknown: it may be a misspelling of a function that writes
	} {
		s, _, err := c.Classify([]byte(text))
		require.Nil(t, err, text)
		assert.Equal(t, want, s.Class, "%s: %s", text, s.Reason)
	}
}

func TestClassOfTextWithMismatchedBracketsIsNotCachedForAnother(t *testing.T) {
	c := New(Options{CacheBytes: 1 << 20, Lists: corpusLists()})
	mismatched, _, err := c.Classify([]byte(`SELECT lower(1], next_seat[1)`))
	require.Nil(t, err)
	writes, _, err := c.Classify([]byte(`SELECT lower[1], next_seat(1)`))
	require.Nil(t, err)
	assert.Equal(t, Write, writes.Class, "%s", writes.Text())
	assert.NotEqual(t, string(mismatched.Text()), string(writes.Text()))
	assert.NotEqual(t, Read, mismatched.Class, "a text with mismatched brackets is not a read")
}

// checkDistinct replaces each bracket of a text and changes the case of each letter in its quoted names, one at a time, and checks
// that the normal form changes too.
func checkDistinct(t testing.TB, text []byte) {
	t.Helper()
	var scan, other Scanner
	form, _, err := scan.Normalize(nil, text)
	if err != nil {
		return
	}
	form = bytes.Clone(form)
	checkDiffers := func(at int, to byte) {
		t.Helper()
		changed := bytes.Clone(text)
		changed[at] = to
		if again, _, err := other.Normalize(nil, changed); err == nil && bytes.Equal(form, again) {
			t.Errorf("%q and %q share the normal form %q", text, changed, form)
		}
	}
	scan.Reset(text)
	for token := scan.Next(); token.Kind != EndOfText && token.Kind != Invalid; token = scan.Next() {
		switch token.Kind {
		case Punctuation:
			for _, bracket := range []byte("()[]") {
				if isBracket := bytes.IndexByte([]byte("()[]"), text[token.Start]) >= 0; isBracket && bracket != text[token.Start] {
					checkDiffers(token.Start, bracket)
				}
			}
		case QuotedName:
			for at := token.Start; at < token.End; at++ {
				if c := text[at] | 0x20; c >= 'a' && c <= 'z' {
					checkDiffers(at, text[at]^0x20)
				}
			}
		}
	}
}

func TestNormalFormKeepsBracketsAndCaseOfQuotedNames(t *testing.T) {
	for _, l := range corpus(t) {
		checkDistinct(t, []byte(l.SQL))
	}
	for _, text := range []string{"SELECT f(1, 2]", "SELECT f[1, 2)", "VALUES (1), (2], (3)", "VALUES [1), (2)", `SELECT "a"(1), "B"[2]`, "SELECT a[1][2], (3), ((4))"} {
		checkDistinct(t, []byte(text))
	}
}

func FuzzDistinctForms(f *testing.F) {
	for _, l := range corpus(f) {
		f.Add(l.SQL)
	}
	f.Fuzz(func(t *testing.T, text string) { checkDistinct(t, []byte(text)) })
}
