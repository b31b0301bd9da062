package agent

import (
	"fmt"
	"net/url"
	"slices"
	"strings"
	"time"

	"dapplerouter/adminapi"
	"dapplerouter/fleet"
)

// Status is the state of the fleet as a front reports it through the admin API.
type Status struct {
	Name                string        `json:"name"`
	Fleet               string        `json:"fleet"`
	Incarnation         string        `json:"incarnation"`
	Index               uint64        `json:"index"` // index of the replicated state
	Isolated            bool          `json:"alone"`
	Leader              string        `json:"gives"`
	HeartbeatAgeSeconds float64       `json:"pulse_ago_s"`      // time since the last heartbeat of the leader arrived
	VoterHaltReason     string        `json:"halted,omitempty"` // empty for a working voter and for a follower
	Peers               []string      `json:"peers"`            // fronts that this front has a link to
	Voters              []fleet.Voter `json:"keepers"`
	Fronts              []FrontStatus `json:"fronts"`
	Leases              []LeaseStatus `json:"duties"`
	FollowsFleet        bool          `json:"leans"`          // this front takes the endpoint list from the fleet
	ListIndex           int64         `json:"list_index"`     // version of the endpoint list in the fleet
	VoterDisk           *DiskStatus   `json:"disk,omitempty"` // nil for a follower
}

// DiskStatus says how recent the content of a voter's disk is; see fleet.DiskPosition.
type DiskStatus struct {
	LastTerm  uint64 `json:"last_term"`
	LastIndex uint64 `json:"last_index"`
}

// FrontStatus is the replicated membership record of a front.
type FrontStatus struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Version     string `json:"version"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Voter       bool   `json:"keeper"`
	Restarts    int    `json:"restarts"` // restarts that the replicated state records
}

// LeaseStatus is the replicated state of a lease.
type LeaseStatus struct {
	Lease            string  `json:"duty"`
	Term             uint64  `json:"term"`
	Leaseholder      string  `json:"holder"`
	GrantIndex       uint64  `json:"since_index"`      // index of the log entry that granted the lease
	Reason           string  `json:"why"`              // reason of the last grant or release
	RemainingSeconds float64 `json:"left_s,omitempty"` // time until the lease expires; reported by the leaseholder only
}

// registerHandlers registers the handlers of the admin API. The field names in response bodies are those of the first version, since
// operators' tools read them.
func (a *Agent) registerHandlers(s *adminapi.Server) {
	s.HandleGet("/v1/fleet", func(url.Values) (any, error) { return a.status(), nil })
	s.HandleGet("/v1/fleet/counters", func(url.Values) (any, error) { return a.Counters(), nil })
	s.HandlePost("/v1/fleet/transfer", func(q url.Values) (any, error) { return a.transferLease(q.Get("lease"), q.Get("to")) })
	s.HandlePost("/v1/fleet/voters/add", a.addVoter)
	s.HandlePost("/v1/fleet/voters/remove", a.removeVoter)
	a.registerRecovery(s)
	if a.rollout != nil {
		a.registerRollout(s)
	}
	// Paths of version 0.3.0, to be removed in the next version.
	s.HandleDeprecatedPost("/v1/fleet/hand", "/v1/fleet/transfer", func(q url.Values) (any, error) { return a.transferLease(q.Get("duty"), q.Get("to")) })
	s.HandleDeprecatedPost("/v1/fleet/keepers/add", "/v1/fleet/voters/add", a.addVoter)
	s.HandleDeprecatedPost("/v1/fleet/keepers/remove", "/v1/fleet/voters/remove", a.removeVoter)
}

// doneBody is the response body of a request that was carried out.
var doneBody = map[string]bool{"done": true}

// transferLease asks the leader to transfer a lease to a front; if to is empty, the leader chooses one.
func (a *Agent) transferLease(leaseName, to string) (any, error) {
	return doneBody, a.requestLeader(func(n *fleet.Node, now time.Duration) uint64 { return n.TransferLease(now, leaseName, to) })
}

// addVoter asks the leader to add a voter.
func (a *Agent) addVoter(q url.Values) (any, error) {
	return doneBody, a.requestLeader(func(n *fleet.Node, now time.Duration) uint64 { return n.AddVoter(now, q.Get("name"), q.Get("address")) })
}

// removeVoter asks the leader to remove a voter.
func (a *Agent) removeVoter(q url.Values) (any, error) {
	return doneBody, a.requestLeader(func(n *fleet.Node, now time.Duration) uint64 { return n.RemoveVoter(now, q.Get("name")) })
}

// hexIncarnation formats an incarnation as operators see it: ten hexadecimal digits.
func hexIncarnation(n uint64) string { return fmt.Sprintf("%010x", n) }

// status returns the state of the fleet as this front knows it. Voters, fronts and leases are sorted by name.
func (a *Agent) status() (s Status) {
	s.FollowsFleet = a.endpoints.watcher.UsesSharedList()
	a.mesh.Do(func(n *fleet.Node, now time.Duration) {
		state := n.State()
		leader, age := n.LastHeartbeat(now)
		s.Name, s.Fleet, s.Incarnation = a.name, a.config.ID, hexIncarnation(n.Incarnation())
		s.Index, s.Isolated = state.Index, n.Isolated()
		s.Leader, s.HeartbeatAgeSeconds, s.VoterHaltReason = leader, age.Seconds(), n.VoterHaltReason()
		s.Peers, s.ListIndex = n.Peers(), a.endpoints.list.Index()
		if p, ok := n.VoterDiskPosition(); ok {
			s.VoterDisk = &DiskStatus{LastTerm: p.LastTerm, LastIndex: p.LastIndex}
		}
		for name, address := range state.Voters {
			s.Voters = append(s.Voters, fleet.Voter{Name: name, Address: address})
		}
		for _, x := range state.Fronts {
			_, isVoter := state.Voters[x.Name]
			s.Fronts = append(s.Fronts, FrontStatus{x.Name, x.Zone, x.Version, hexIncarnation(x.Incarnation), x.Address, isVoter, len(x.PastIncarnations)})
		}
		for _, lease := range state.Leases {
			x := LeaseStatus{Lease: lease.Name, Term: lease.Term, Leaseholder: lease.Leaseholder, GrantIndex: lease.GrantIndex, Reason: lease.Reason}
			if _, ok := n.HoldsLease(now, lease.Name); ok {
				x.RemainingSeconds = (n.LeaseExpiry(lease.Name) - now).Seconds()
			}
			s.Leases = append(s.Leases, x)
		}
	})
	slices.SortFunc(s.Voters, func(a, b fleet.Voter) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Fronts, func(a, b FrontStatus) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Leases, func(a, b LeaseStatus) int { return strings.Compare(a.Lease, b.Lease) })
	return s
}
