package front

import (
	"time"

	"dapplerouter/discovery"
	"dapplerouter/routing"
)

// RemoteSitePrefix begins the address of an endpoint that stands for another site's part of a group.
const RemoteSitePrefix = "site:"

// servers are the servers that the endpoint list has named, by the index under which the router knows them. An index that the router
// releases may stand for another server later.
type servers struct {
	names  *Index[string]
	types  *Index[string]
	groups *Index[int64]
	states []serverState
	static []discovery.Endpoint // every snapshot has them beside its own

	endpoints []routing.Endpoint // of the current update; reused
}

// serverState is what the core knows of a server.
type serverState struct {
	address    string
	startedAt  int64  // Unix milliseconds, 0 for unknown
	serving    bool   // the endpoint list lets new work go there
	remote     bool   // it stands for another site
	failing    bool   // by its last result; for the log
	generation uint32 // how often its index was released
}

// unknownUptime is the uptime of a server whose start is not known.
const unknownUptime = 100 * 365 * 24 * time.Hour

func newServers() servers {
	return servers{names: NewIndex[string](), types: NewIndex[string](), groups: NewIndex[int64]()}
}

// at returns the state of a server.
func (s *servers) at(index int) *serverState {
	for len(s.states) <= index {
		s.states = append(s.states, serverState{})
	}
	return &s.states[index]
}

// release frees a server's index.
func (s *servers) release(index int) {
	s.names.Release(index)
	st := s.at(index)
	st.address, st.startedAt, st.failing = "", 0, false
	st.generation++
}

// noneServing notes that no server takes new work, until the list says so again.
func (s *servers) noneServing() {
	for i := range s.states {
		s.states[i].serving = false
	}
}

// updateStatic makes the next snapshot have a static endpoint as a later update had it.
func (s *servers) updateStatic(e discovery.Endpoint) {
	for i := range s.static {
		if s.static[i].Name == e.Name {
			s.static[i] = e
		}
	}
}

// setAddress notes where a server is reached and when it started, and passes it on to the pools.
func (c *Core) setAddress(index int, address string, startedAt int64) {
	st := c.servers.at(index)
	st.address, st.startedAt = address, startedAt
	c.pools.SetAddress(index, address, c.uptime(startedAt))
}

// uptime is the time since a server's start, which is given in Unix milliseconds.
func (c *Core) uptime(startedAt int64) time.Duration {
	if startedAt == 0 {
		return unknownUptime
	}
	return max(0, c.now-c.wall.at(startedAt))
}

// correctClock passes a correction of the wall clock on to the router and the pools, which keep times that others reported.
func (c *Core) correctClock(shift time.Duration) {
	if shift == 0 {
		return
	}
	c.router.ClockCorrected(c.now, shift)
	for i := range c.servers.states {
		if st := &c.servers.states[i]; st.startedAt != 0 && st.address != "" {
			c.pools.SetAddress(i, st.address, c.uptime(st.startedAt))
		}
	}
}
