package fleet

import (
	"maps"
	"slices"
	"time"
)

// configLeaseState holds the configuration versions that a Node uses or is about to use, and its leases on them.
type configLeaseState struct {
	activeVersion  uint64 // the version in use
	pendingVersion uint64 // the version about to be used, where hasPending
	hasPending     bool
	configExpiry   map[uint64]time.Duration // by version: when the lease on it expires
}

func newConfigLeaseState() configLeaseState {
	return configLeaseState{configExpiry: map[uint64]time.Duration{}}
}

// SetActiveVersion sets the version that this front uses from now on, and reports it to the leader at once. No version is pending
// afterwards. It does nothing where the version is active already and not pending as well.
func (n *Node) SetActiveVersion(now time.Duration, version uint64) {
	if n.activeVersion != version || n.hasPending && n.pendingVersion == version {
		n.activeVersion, n.hasPending = version, false
		n.reportMembership(now)
	}
}

// SetPendingVersion requests a lease on a second version before this front uses it. Where this front's replicated state is outdated, the
// version may no longer be allowed; the leader then grants no lease on it.
func (n *Node) SetPendingVersion(now time.Duration, version uint64) {
	if !n.hasPending || n.pendingVersion != version {
		n.pendingVersion, n.hasPending = version, true
		n.reportMembership(now)
	}
}

// ConfigLeaseExpiry returns the time until which this front may use a version, on its own clock. It is 0 where the front has no lease
// on the version.
func (n *Node) ConfigLeaseExpiry(version uint64) time.Duration { return n.configExpiry[version] }

// usesVersion reports whether a version is the active or the pending version of this front.
func (n *Node) usesVersion(version uint64) bool {
	return version == n.activeVersion || n.hasPending && version == n.pendingVersion
}

// onConfigLeases handles renewals from the leader. A renewal for this front extends its lease, counted from when this front sent the
// request. The renewals for other fronts are forwarded to the next hops towards them.
func (n *Node) onConfigLeases(all []Position) {
	byNextHop := map[string][]Position{}
	for _, m := range all {
		if m.Name != n.options.Name {
			if route, ok := n.routes[m.Name]; ok && route.via != "" {
				byNextHop[route.via] = append(byNextHop[route.via], m)
			}
			continue
		}
		if m.Term != n.options.Incarnation || m.Index > n.reportSeq || n.reportSeq-m.Index >= rememberedSendTimes || n.isDisplaced ||
			!n.usesVersion(m.Version) {
			continue
		}
		since := n.sentAt[m.Index%rememberedSendTimes]
		if until := since + lowerBound(n.options.ConfigLease); until > n.configExpiry[m.Version] {
			for v := range n.configExpiry {
				if !n.usesVersion(v) {
					delete(n.configExpiry, v)
				}
			}
			n.configExpiry[m.Version] = until
			n.emit(ConfigLeaseRenewed{Version: m.Version, Until: until, Since: since})
		}
	}
	for _, via := range slices.Sorted(maps.Keys(byNextHop)) {
		for part := range slices.Chunk(byNextHop[via], maxMembers) {
			n.send(via, &Message{Kind: KindConfigLeases, Positions: part})
		}
	}
}
