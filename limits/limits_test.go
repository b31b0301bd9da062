package limits

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestNewDescriptorShares(t *testing.T) {
	assert.Equal(t, DescriptorShares{Total: 992, MaxClients: 744, EvictFrom: 256, Overshoot: 8}, NewDescriptorShares(1024, 32))
	assert.Equal(t, DescriptorShares{Total: 32, MaxClients: 24, EvictFrom: 16, Overshoot: 8}, NewDescriptorShares(64, 32))
}

func TestDescriptorsAdmitWithinTheirShares(t *testing.T) {
	evictsNone, evictsOne := func() bool { return false }, func() bool { return true }
	count := func(admit func() bool) (n int) {
		for admit() {
			n++
		}
		return n
	}
	shares := DescriptorShares{Total: 40, MaxClients: 30, EvictFrom: 10, Overshoot: 2}
	for name, x := range map[string]struct {
		evictClient, evictServer func() bool
		clients, servers         int // clients are admitted first
	}{
		"nothing is idle":                          {evictsNone, evictsNone, 30, 10},
		"evicted clients do not close":             {evictsOne, evictsNone, 32, 10},
		"evicted connections do not close at once": {evictsOne, evictsOne, 32, 10},
	} {
		t.Run(name, func(t *testing.T) {
			d := NewDescriptors(shares)
			d.SetEvictClient(x.evictClient)
			assert.Equal(t, x.clients, count(func() bool { return d.AdmitClient(x.evictClient) }))
			assert.Equal(t, x.servers, count(func() bool { return d.AdmitServer(x.evictServer) }))
			clients, servers, peak := d.InUse()
			assert.Equal(t, []int{x.clients, x.servers, x.clients + x.servers}, []int{clients, servers, peak})
			for range clients {
				d.ReleaseClient()
			}
			for range servers {
				d.ReleaseServer()
			}
			clients, servers, peak = d.InUse()
			assert.Equal(t, []int{0, 0, x.clients + x.servers}, []int{clients, servers, peak})
		})
	}
}

func TestMemoryIsReservedUpToItsLimit(t *testing.T) {
	m := NewMemory(100)
	assert.True(t, m.Reserve(60))
	assert.False(t, m.Reserve(41))
	assert.Equal(t, int64(60), m.Reserved(), "a failed reservation reserves nothing")
	assert.True(t, m.Reserve(40))
	assert.True(t, m.Reserve(-100))
	assert.Zero(t, m.Reserved())
}
