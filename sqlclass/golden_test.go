package sqlclass

import (
	"bufio"
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// goldenStatement is the line of testdata/classified.jsonl for a line of the corpus.
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
	Code        string   `json:"code,omitempty"` // of the syntax error, with Why and At
}

func golden(c *Classifier, text string) goldenStatement {
	s, f, fault := c.Classify([]byte(text))
	if fault != nil {
		return goldenStatement{Code: fault.Code, Why: fault.Message, At: fault.Offset}
	}
	v := c.Explain([]byte(text))
	return goldenStatement{Form: string(s.Text()), Fingerprint: s.Fingerprint(), Class: s.Class.String(), Bound: s.SessionBound,
		Several: s.MultipleStatements, Empty: s.Empty, Why: v.Reason, At: v.ReasonOffset, Verb: s.Verb, Tables: s.Tables, Rows: s.EstimatedRows(&f),
		Items: f.ListItems, Limit: f.Limit, Key: string(f.FirstString), Block: f.LastComment}
}

// Normal form, fingerprint, class and all else that is found of a statement stay what they are, for the whole corpus.
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
