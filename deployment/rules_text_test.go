package deployment

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestRulesTextSplitAndJoin(t *testing.T) {
	var text RulesText
	original := []byte(`(rules (given-up 9 7) (window book 90s) (bound "slot browse" 1500ms))`)
	rules, err := text.Split(original)
	require.NoError(t, err)
	assert.Len(t, rules, 4)
	joined := text.Join(rules)
	assert.Equal(t, text.Digest(original), text.Digest(joined), string(joined))
	again, err := text.Split(joined)
	require.NoError(t, err)
	assert.Equal(t, rules, again)
	none, err := text.Split(nil)
	require.NoError(t, err)
	assert.Empty(t, none)
	_, err = text.Split([]byte("(rules (bound"))
	assert.Error(t, err)
}
