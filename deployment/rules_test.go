package deployment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/routing"
)

func TestRulesOnlyTightenAndErrorsHavePositions(t *testing.T) {
	s := &Settings{TypeNames: []string{"browse", "book"}, RequestTypes: []routing.RequestType{
		{Consistency: routing.BoundedStaleness, MaxStaleness: 3 * time.Second},
		{Consistency: routing.Write, Idempotency: routing.IdempotencyKey, DedupWindow: 2 * time.Second},
	}}
	for text, want := range map[string]string{
		"(rules (bound browse 2s) (window book 1s) (given-up 7 3))": "",
		"(rules (bound browse 5s))":                                 "x:1:8: 5s is looser than the site's bound of 3s for browse",
		"(rules (bound book 1s))":                                   "book has no bound; name a type that reads within a bound",
		"(rules (window brows 1s))":                                 "brows is no request type of this site",
		"(rules (given-up north))":                                  "x:1:18: north is no group",
		"(rules (bond browse 1s))":                                  "rules have no bond",
		"(rules (bound browse 1s) (bound browse 2s))":               "bound of browse is named twice",
		"(fleet (id \"x\"))":                                        "fleet",
		"":                                                          "the file has no form rules",
	} {
		r, err := ParseRules("x", []byte(text))
		if err == nil {
			err = r.Validate(s)
		}
		if want == "" {
			require.NoError(t, err, text)
			assert.Equal(t, []int64{3, 7}, r.RejectedGroups)
		} else {
			assert.ErrorContains(t, err, want, text)
		}
	}
}

func TestRulesDigestIgnoresSpelling(t *testing.T) {
	original, err := ParseRules("a", []byte("(rules (given-up 7 3) (bound browse 2s))"))
	require.NoError(t, err)
	respelled, err := ParseRules("b", []byte("; the same\n(rules (bound browse 2000ms)\n (given-up 3 7 7))"))
	require.NoError(t, err)
	changed, err := ParseRules("c", []byte("(rules (bound browse 2001ms) (given-up 3 7))"))
	require.NoError(t, err)
	assert.Equal(t, original.Digest(), respelled.Digest())
	assert.NotEqual(t, original.Digest(), changed.Digest())
	assert.Len(t, original.Digest(), 16)
	var nilRules *Rules
	assert.Equal(t, nilRules.Digest(), (&Rules{}).Digest())
}
