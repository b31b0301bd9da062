package fleet

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/discovery"
	"dapplerouter/routing"
)

func TestOlderEndpointListNeverReplacesANewerOne(t *testing.T) {
	holder, other := NewEndpointList(), NewEndpointList()
	apply := func(index, after int64, complete bool, names ...string) []byte {
		l := newList(index, complete, names...)
		update, err := holder.EncodeUpdate(l, after)
		require.NoError(t, err)
		holder.Apply(1, update)
		return update
	}
	first, second, third := apply(10, 0, true, "a", "b"), apply(11, 10, false, "c"), apply(12, 11, false, "d")
	news, behind := other.Apply(1, first)
	assert.True(t, news != nil && !behind)
	_, behind = other.Apply(1, third)
	assert.True(t, behind, "an update is missing, so a neighbour must send the complete list")
	news, behind = other.Apply(1, holder.Snapshot())
	assert.True(t, news != nil && !behind)
	assert.Len(t, other.List().Endpoints, 4)
	for _, old := range [][]byte{first, second} {
		news, _ = other.Apply(9, old)
		assert.Nil(t, news, "an older list is ignored even in a later term")
	}
	assert.EqualValues(t, 12, other.List().Index)
	_, err := holder.EncodeUpdate(newList(7, true, "a"), 0)
	var older *OlderListError
	require.ErrorAs(t, err, &older)
	assert.Equal(t, OlderListError{Received: 7, Known: 12}, *older)
	news, _ = other.Apply(1, holder.EncodeHeartbeat())
	decoded, changed := DecodeEndpointUpdate(news)
	assert.False(t, changed, "a heartbeat is forwarded and changes nothing")
	assert.EqualValues(t, 12, decoded.Index)
	news, behind = other.Apply(1, []byte{0xc1})
	assert.True(t, news == nil && !behind)
}

// newList returns a list with an endpoint of each name: complete, or changes only.
func newList(index int64, complete bool, names ...string) (l discovery.List) {
	l.Index, l.Snapshot = index, complete
	for _, n := range names {
		l.Endpoints = append(l.Endpoints, discovery.Endpoint{Name: n, Address: n + ":1", Zone: "a", State: routing.Serving})
	}
	return l
}
