package sqlclass

import (
	"bufio"
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// goldenStatement is a line of testdata/classified.jsonl: the expected results for the same line of the corpus.
type goldenStatement struct {
	Form        string   `json:"form,omitempty"`
	Fingerprint uint64   `json:"fingerprint,omitempty"`
	Class       string   `json:"class,omitempty"`
	Bound       bool     `json:"bound,omitempty"`
	Several     bool     `json:"several,omitempty"`
	Empty       bool     `json:"empty,omitempty"`
	Why         string   `json:"why,omitempty"`
	At          int      `json:"at,omitempty"`
	Verb        string   `json:"verb,omitempty"`
	Tables      []string `json:"tables,omitempty"`
	Rows        float64  `json:"rows,omitempty"`
	Items       int      `json:"items,omitempty"`
	Limit       int      `json:"limit"`
	Key         string   `json:"key,omitempty"`
	Block       [2]int   `json:"block"`
	Code        string   `json:"code,omitempty"` // SQLSTATE of a syntax error; Why and At are its message and offset
}

// golden returns the actual results for a text.
func golden(c *Classifier, text string) goldenStatement {
	s, details, syntaxErr := c.Classify([]byte(text))
	if syntaxErr != nil {
		return goldenStatement{Code: syntaxErr.Code, Why: syntaxErr.Message, At: syntaxErr.Offset}
	}
	v := c.Explain([]byte(text))
	return goldenStatement{Form: string(s.Text()), Fingerprint: s.Fingerprint(), Class: s.Class.String(), Bound: s.SessionBound,
		Several: s.MultipleStatements, Empty: s.Empty, Why: v.Reason, At: v.ReasonOffset, Verb: s.Verb, Tables: s.Tables,
		Rows: s.EstimatedRows(&details), Items: details.ListItems, Limit: details.Limit, Key: string(details.FirstString), Block: details.LastComment}
}

// The normal form, fingerprint, classification and details of every statement of the corpus must be those that were recorded.
func TestCorpusKeepsNormalFormsFingerprintsAndClasses(t *testing.T) {
	f, err := os.Open("testdata/classified.jsonl")
	require.NoError(t, err)
	defer f.Close()
	c := New(Options{CacheBytes: 8 << 20, Lists: corpusLists()})
	in := bufio.NewScanner(f)
	in.Buffer(nil, 1<<20)
	for _, l := range corpus(t) {
		require.True(t, in.Scan())
		got, err := json.Marshal(golden(c, l.SQL))
		require.NoError(t, err)
		assert.Equal(t, in.Text(), string(got), l.SQL)
	}
	assert.False(t, in.Scan())
}
