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

// Status is what a front reports of its fleet over the admin API.
type Status struct {
	Name                string        `json:"name"`
	Fleet               string        `json:"fleet"`
	Incarnation         string        `json:"incarnation"`
	Index               uint64        `json:"index"`
	Isolated            bool          `json:"alone"`
	Leader              string        `json:"gives"`
	HeartbeatAgeSeconds float64       `json:"pulse_ago_s"`
	VoterHaltReason     string        `json:"halted,omitempty"`
	Peers               []string      `json:"peers"`
	Voters              []fleet.Voter `json:"keepers"`
	Fronts              []FrontStatus `json:"fronts"`
	Leases              []LeaseStatus `json:"duties"`
	FollowsFleet        bool          `json:"leans"`
	ListIndex           int64         `json:"list_index"`
	VoterDisk           *DiskStatus   `json:"disk,omitempty"` // at a voter
}

// DiskStatus is how new a voter's disk is, see fleet.DiskPosition.
type DiskStatus struct {
	LastTerm  uint64 `json:"last_term"`
	LastIndex uint64 `json:"last_index"`
}

// FrontStatus is a front's replicated membership.
type FrontStatus struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Version     string `json:"version"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Voter       bool   `json:"keeper"`
	Restarts    int    `json:"restarts"` // as far as the replicated state remembers
}

// LeaseStatus is a lease's replicated state.
type LeaseStatus struct {
	Lease            string  `json:"duty"`
	Term             uint64  `json:"term"`
	Leaseholder      string  `json:"holder"`
	Since            uint64  `json:"since_index"`
	Reason           string  `json:"why"`
	RemainingSeconds float64 `json:"left_s,omitempty"` // at the leaseholder only: until the lease expires
}

// serveControl registers the handlers of the admin API.
func (a *Agent) serveControl(s *adminapi.Server) {
	if a.rollout != nil {
		a.serveRollout(s)
	}
	a.serveRecovery(s)
	s.HandleGet("/v1/fleet", func(url.Values) (any, error) { return a.status(), nil })
	a.serveCounters(s)
	s.HandlePost("/v1/fleet/hand", func(q url.Values) (any, error) {
		leaseName, to := q.Get("duty"), q.Get("to")
		return a.request(func(n *fleet.Node, now time.Duration) uint64 { return n.TransferLease(now, leaseName, to) })
	})
	s.HandlePost("/v1/fleet/keepers/add", func(q url.Values) (any, error) {
		return a.request(func(n *fleet.Node, now time.Duration) uint64 { return n.AddVoter(now, q.Get("name"), q.Get("address")) })
	})
	s.HandlePost("/v1/fleet/keepers/remove", func(q url.Values) (any, error) {
		return a.request(func(n *fleet.Node, now time.Duration) uint64 { return n.RemoveVoter(now, q.Get("name")) })
	})
}

// request sends a request to the leader and waits for its answer.
func (a *Agent) request(ask func(n *fleet.Node, now time.Duration) uint64) (any, error) {
	e, ok := a.awaitRequest(ask)
	if !ok {
		return nil, adminapi.RejectedError("no answer of the fleet")
	}
	if e.Error != "" {
		return nil, adminapi.RejectedError(e.Error)
	}
	return map[string]bool{"done": true}, nil
}

// awaitRequest sends a request to the leader and waits for its end; ok is false where none came in time.
func (a *Agent) awaitRequest(ask func(n *fleet.Node, now time.Duration) uint64) (e fleet.RequestDone, ok bool) {
	answer := make(chan fleet.RequestDone, 1)
	var number uint64
	a.mesh.Do(func(n *fleet.Node, now time.Duration) {
		number = ask(n, now)
		a.mu.Lock()
		a.pendingRequests[number] = answer
		a.mu.Unlock()
	})
	select {
	case e := <-answer:
		return e, true
	case <-time.After(5 * a.config.LeaseDuration):
		a.mu.Lock()
		delete(a.pendingRequests, number)
		a.mu.Unlock()
		return e, false
	}
}

// collectDigests returns all fronts' digests of a part, none without a leader.
func (a *Agent) collectDigests(part string) []fleet.MemberReport {
	e, _ := a.awaitRequest(func(n *fleet.Node, now time.Duration) uint64 { return n.CollectDigests(now, part) })
	return e.Reports
}

// hexIncarnation is an incarnation as operators see it.
func hexIncarnation(n uint64) string { return fmt.Sprintf("%010x", n) }

// status returns the admin API's view of the fleet, sorted by name.
func (a *Agent) status() (s Status) {
	s.FollowsFleet = a.directory.UsesSharedList()
	a.mesh.Do(func(n *fleet.Node, now time.Duration) {
		r := n.State()
		by, ago := n.LastHeartbeat(now)
		s.Name, s.Fleet, s.Incarnation, s.Index, s.Isolated, s.Leader = a.name, a.config.ID, hexIncarnation(n.Incarnation()), r.Index, n.Isolated(), by
		s.HeartbeatAgeSeconds, s.VoterHaltReason, s.Peers, s.ListIndex = ago.Seconds(), n.VoterHaltReason(), n.Peers(), a.endpoints.Index()
		if p, ok := n.VoterDiskPosition(); ok {
			s.VoterDisk = &DiskStatus{LastTerm: p.LastTerm, LastIndex: p.LastIndex}
		}
		for name, address := range r.Voters {
			s.Voters = append(s.Voters, fleet.Voter{Name: name, Address: address})
		}
		for _, x := range r.Fronts {
			_, isVoter := r.Voters[x.Name]
			s.Fronts = append(s.Fronts, FrontStatus{x.Name, x.Zone, x.Version, hexIncarnation(x.Incarnation), x.Address, isVoter, len(x.PastIncarnations)})
		}
		for _, d := range r.Leases {
			x := LeaseStatus{Lease: d.Name, Term: d.Term, Leaseholder: d.Leaseholder, Since: d.GrantIndex, Reason: d.Reason}
			if _, ok := n.HoldsLease(now, d.Name); ok {
				x.RemainingSeconds = (n.LeaseExpiry(d.Name) - now).Seconds()
			}
			s.Leases = append(s.Leases, x)
		}
	})
	slices.SortFunc(s.Voters, func(a, b fleet.Voter) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Fronts, func(a, b FrontStatus) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Leases, func(a, b LeaseStatus) int { return strings.Compare(a.Lease, b.Lease) })
	return s
}
