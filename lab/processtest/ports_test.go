package processtest

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestPortBlockGivesEachPortOnce(t *testing.T) {
	var p portBlock
	require.NoError(t, p.reserve(1))
	defer p.release()
	given := map[string]bool{}
	for {
		addresses, err := p.take(1)
		if err != nil {
			assert.ErrorIs(t, err, errNoPorts)
			break
		}
		assert.False(t, given[addresses[0]], addresses[0])
		given[addresses[0]] = true
	}
	assert.NotEmpty(t, given)
}
