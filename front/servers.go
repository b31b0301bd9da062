package front

import (
	"log/slog"
	"time"

	"dapplerouter/discovery"
	"dapplerouter/routing"
)

// RemoteSitePrefix is the prefix of the address of an endpoint that represents the part of a group at another site.
const RemoteSitePrefix = "site:"

// servers holds the servers of the endpoint list, by the index that the router uses for them. After the router releases an index, it may
// be assigned to another server.
type servers struct {
	names  *Index[string]
	types  *Index[string]
	groups *Index[int64]
	states []serverState
	static []discovery.Endpoint // added to every snapshot

	onlyDrainingBinds bool // a server that leaves the list without having drained still accepts new work

	endpoints []routing.Endpoint // buffer for the current update
}

// serverState is the core's state of a server.
type serverState struct {
	address   string
	startedAt int64 // in Unix milliseconds; 0 if unknown
	serving   bool  // the endpoint list permits new work
	remote    bool  // represents another site
	ahead     bool  // it is a replica, and the last log position that it reported lies in the future
	failing   bool  // the last result was Unreachable, ConnectionLost or TimedOut; used for the log

	statedRole routing.Role // the last role that the server reported; used for the log
	generation uint32       // number of times that the index was released
}

// unknownUptime is the uptime assumed for a server whose start time is unknown.
const unknownUptime = 100 * 365 * 24 * time.Hour

func newServers(rules routing.DeploymentRules) servers {
	return servers{names: NewIndex[string](), types: NewIndex[string](), groups: NewIndex[int64](), onlyDrainingBinds: rules.OnlyDrainingBinds}
}

// at returns the state of the server with an index; it is empty for a new index.
func (s *servers) at(index int) *serverState {
	for len(s.states) <= index {
		s.states = append(s.states, serverState{})
	}
	return &s.states[index]
}

// release frees a server's index and clears the state that must not carry over to another server.
func (s *servers) release(index int) {
	s.names.Release(index)
	st := s.at(index)
	st.address, st.startedAt, st.failing, st.serving, st.ahead = "", 0, false, false, false
	st.statedRole = routing.UnknownRole
	st.generation++
}

// beginSnapshot marks all servers as not accepting new work, unless only draining binds. The snapshot that follows marks those
// that do.
func (s *servers) beginSnapshot() {
	if s.onlyDrainingBinds {
		return
	}
	for i := range s.states {
		s.states[i].serving = false
	}
}

// setState records the state that an endpoint list gives of a server. Where only draining binds, a removal changes nothing.
func (s *servers) setState(index int, state routing.ServerState) {
	if state == routing.Removed && s.onlyDrainingBinds {
		return
	}
	s.at(index).serving = state == routing.Serving
}

// updateStatic replaces the static endpoint that has the name of an updated endpoint, so that later snapshots contain the update.
func (s *servers) updateStatic(e discovery.Endpoint) {
	for i := range s.static {
		if s.static[i].Name == e.Name {
			s.static[i] = e
		}
	}
}

// setAddress stores a server's address and start time and passes them to the pools.
func (c *Core) setAddress(index int, address string, startedAt int64) {
	st := c.servers.at(index)
	st.address, st.startedAt = address, startedAt
	c.pools.SetAddress(index, address, c.uptime(startedAt))
}

// uptime returns the time since a server's start, which is given in Unix milliseconds.
func (c *Core) uptime(startedAt int64) time.Duration {
	if startedAt == 0 {
		return unknownUptime
	}
	return max(0, c.now-c.wall.at(startedAt))
}

// correctClock passes a shift of the wall clock to the router and the pools, which store times that were derived from it.
func (c *Core) correctClock(shift time.Duration) {
	if shift == 0 {
		return
	}
	slog.Info("wall clock corrected", "by", shift)
	c.router.ClockCorrected(c.now, shift)
	for i := range c.servers.states {
		if st := &c.servers.states[i]; st.startedAt != 0 && st.address != "" {
			c.pools.SetAddress(i, st.address, c.uptime(st.startedAt))
		}
	}
}
