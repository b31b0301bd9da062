package sqlclass

import (
	"bufio"
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// labelled is a statement of the corpus with its manually assigned class. Every label except read means that the statement must
// not be classified as a Read. Why says what the statement tests.
type labelled struct{ Label, Why, SQL string }

// corpusLists returns the operator's lists for the functions and types that the corpus uses.
func corpusLists() *NameLists {
	return NewNameLists([]string{"seat_name", "seats_of", "price_of", "geo.distance", "mood"},
		[]string{"next_seat", "hold_table", "writing_view"}, nil)
}

// corpus reads all statements of the corpus.
func corpus(t testing.TB) (all []labelled) {
	f, err := os.Open("testdata/corpus.jsonl")
	require.NoError(t, err)
	defer f.Close()
	for in := bufio.NewScanner(f); in.Scan(); {
		var l labelled
		require.NoError(t, json.Unmarshal(in.Bytes(), &l))
		all = append(all, l)
	}
	return all
}

func TestNoCorpusWriteIsClassifiedAsRead(t *testing.T) {
	c := New(Options{Lists: corpusLists(), CacheBytes: 8 << 20})
	reads, recognized := 0, 0
	all := corpus(t)
	require.GreaterOrEqual(t, len(all), 600)
	for _, l := range all {
		s, _, syntaxErr := c.Classify([]byte(l.SQL))
		if l.Label == "read" {
			require.Nil(t, syntaxErr, l.SQL)
			reads++
			if s.Class == Read {
				recognized++
			} else {
				t.Logf("not recognized: %s (%s)", l.SQL, s.Reason)
			}
			continue
		}
		if syntaxErr == nil {
			assert.NotEqual(t, Read, s.Class, "%s: %s", l.Why, l.SQL)
		}
	}
	t.Logf("%d statements, %d reads, %d recognized (%.1f%%)", len(all), reads, recognized, 100*float64(recognized)/float64(reads))
	assert.GreaterOrEqual(t, float64(recognized), 0.95*float64(reads))
}
