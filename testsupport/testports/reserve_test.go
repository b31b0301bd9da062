package testports

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A reserved port is nobody else's, though thousands of others are chosen; without the reservation about twenty would be hit.
func TestAReservedPortIsGivenToNobodyElse(t *testing.T) {
	reserved := map[string]bool{}
	for range 200 {
		r, err := Reserve()
		require.NoError(t, err)
		t.Cleanup(r.Release)
		assert.False(t, reserved[r.Address], "reserved twice")
		reserved[r.Address] = true
	}
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer target.Close()
	for range 3000 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		assert.False(t, reserved[l.Addr().String()], "a listener got it")
		l.Close()
		c, err := net.Dial("tcp", target.Addr().String())
		require.NoError(t, err)
		assert.False(t, reserved[c.LocalAddr().String()], "a connection got it")
		c.Close()
	}
}

// Whoever names the port can listen there, more than once, with connections of the time before still ending.
func TestAReservedPortCanBeListenedOnAnew(t *testing.T) {
	r, err := Reserve()
	require.NoError(t, err)
	for range 3 {
		l, err := net.Listen("tcp", r.Address)
		require.NoError(t, err)
		c, err := net.Dial("tcp", r.Address)
		require.NoError(t, err)
		accepted, err := l.Accept()
		require.NoError(t, err)
		accepted.Close() // first: its port lingers
		c.Close()
		l.Close()
	}
	_, err = net.Dial("tcp", r.Address)
	assert.Error(t, err, "nobody listens between")
	r.Release()
	r.Release()
}
