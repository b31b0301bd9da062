package sqlclass

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A quoted name is taken for a listed one that differs in its capitals, and a ] closes what a ( opened.
//
// The server tells "Seat_Name" from seat_name: it may be a function that writes, or a column that calls one. And texts that
// differ in a bracket shared a normal form, so the class of the first was found in the cache for the other: behind
// SELECT lower(1], next_seat[1), which no server accepts and which reads by its names, SELECT lower[1], next_seat(1) was a read
// too, though next_seat writes: it would go to a replica, and be repeated after a failure.

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
		`SELECT (x)."Next_Seat" FROM s x`: Write, // the strict side: it may be a misspelling of one that writes
	} {
		s, _, err := c.Classify([]byte(text))
		require.Nil(t, err, text)
		assert.Equal(t, want, s.Class, "%s: %s", text, s.Reason)
	}
}

func TestClassOfTextWithMismatchedBracketsIsNotCachedForAnother(t *testing.T) {
	c := New(Options{CacheBytes: 1 << 20, Lists: corpusLists()})
	spoilt, _, err := c.Classify([]byte(`SELECT lower(1], next_seat[1)`))
	require.Nil(t, err)
	writes, _, err := c.Classify([]byte(`SELECT lower[1], next_seat(1)`))
	require.Nil(t, err)
	assert.Equal(t, Write, writes.Class, "%s", writes.Text())
	assert.NotEqual(t, string(spoilt.Text()), string(writes.Text()))
	assert.NotEqual(t, Read, spoilt.Class, "brackets that do not match are no text to be understood")
}

// checkDistinct changes each bracket and each letter of a quoted name of a text, and holds that the normal form changes too.
func checkDistinct(t testing.TB, text []byte) {
	t.Helper()
	var scan, other Scanner
	form, _, err := scan.Normalize(nil, text)
	if err != nil {
		return
	}
	form = bytes.Clone(form)
	differs := func(at int, to byte) {
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
					differs(token.Start, bracket)
				}
			}
		case QuotedName:
			for at := token.Start; at < token.End; at++ {
				if c := text[at] | 0x20; c >= 'a' && c <= 'z' {
					differs(at, text[at]^0x20)
				}
			}
		}
	}
}

func TestBracketsAndQuotedNamesAreTheirOwnInTheNormalForm(t *testing.T) {
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
