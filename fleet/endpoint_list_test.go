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
	feed := func(index, after int64, whole bool, names ...string) []byte {
		l := list(index, whole, names...)
		update, err := holder.EncodeUpdate(l, after)
		require.NoError(t, err)
		holder.Apply(1, update)
		return update
	}
	first, second, third := feed(10, 0, true, "a", "b"), feed(11, 10, false, "c"), feed(12, 11, false, "d")
	news, behind := other.Apply(1, first)
	assert.True(t, news != nil && !behind)
	_, behind = other.Apply(1, third)
	assert.True(t, behind, "one is missing: a neighbour sends the complete list")
	news, behind = other.Apply(1, holder.Snapshot())
	assert.True(t, news != nil && !behind)
	assert.Len(t, other.List().Endpoints, 4)
	for _, old := range [][]byte{first, second} {
		news, _ = other.Apply(9, old)
		assert.Nil(t, news, "whatever its term")
	}
	assert.EqualValues(t, 12, other.List().Index)
	_, err := holder.EncodeUpdate(list(7, true, "a"), 0)
	var older *OlderListError
	require.ErrorAs(t, err, &older)
	assert.Equal(t, OlderListError{Received: 7, Known: 12}, *older)
	news, _ = other.Apply(1, holder.EncodeHeartbeat())
	said, changed := DecodeEndpointUpdate(news)
	assert.False(t, changed, "that the service answers is passed on, and changes nothing")
	assert.EqualValues(t, 12, said.Index)
	news, behind = other.Apply(1, []byte{0xc1})
	assert.True(t, news == nil && !behind)
}

func list(index int64, whole bool, names ...string) (l discovery.List) {
	l.Index, l.Snapshot = index, whole
	for _, n := range names {
		l.Endpoints = append(l.Endpoints, discovery.Endpoint{Name: n, Address: n + ":1", Zone: "a", State: routing.Serving})
	}
	return l
}
