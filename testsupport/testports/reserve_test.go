package testports

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The kernel never chooses a reserved port, though it chooses thousands of others. Without the reservation it would choose
// about twenty of the reserved ports.
func TestReservedPortIsNeverChosen(t *testing.T) {
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
		assert.False(t, reserved[l.Addr().String()], "a listener got a reserved port")
		l.Close()
		c, err := net.Dial("tcp", target.Addr().String())
		require.NoError(t, err)
		assert.False(t, reserved[c.LocalAddr().String()], "a connection got a reserved port")
		c.Close()
	}
}

// A program that names the reserved port can listen on it several times, even while earlier connections are still in TIME_WAIT.
func TestReservedPortCanBeListenedOnAgain(t *testing.T) {
	r, err := Reserve()
	require.NoError(t, err)
	for range 3 {
		l, err := net.Listen("tcp", r.Address)
		require.NoError(t, err)
		c, err := net.Dial("tcp", r.Address)
		require.NoError(t, err)
		accepted, err := l.Accept()
		require.NoError(t, err)
		accepted.Close() // closed first, so that its port enters TIME_WAIT
		c.Close()
		l.Close()
	}
	_, err = net.Dial("tcp", r.Address)
	assert.Error(t, err, "nothing listens in between")
	r.Release()
	r.Release()
}
