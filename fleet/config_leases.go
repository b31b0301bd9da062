package fleet

import (
	"maps"
	"slices"
	"time"
)

// configLeaseState is the configuration versions that a Node uses or is about to use, and its leases on them.
type configLeaseState struct {
	activeVersion  uint64 // the version in use
	pendingVersion uint64 // the version about to be used, where hasPending
	hasPending     bool
	configExpiry   map[uint64]time.Duration // by version: until when it may be used
}

func newConfigLeaseState() configLeaseState {
	return configLeaseState{configExpiry: map[uint64]time.Duration{}}
}

// SetActiveVersion sets the only version that this front uses from now on, and reports it at once.
func (n *Node) SetActiveVersion(now time.Duration, version uint64) {
	if n.activeVersion != version || n.hasPending && n.pendingVersion == version {
		n.activeVersion, n.hasPending = version, false
		n.reportMembership(now)
	}
}

// SetPendingVersion asks for a lease on a second version before it is used. An outdated replicated state may name a version that
// must not be used any more; the lease on it is refused then.
func (n *Node) SetPendingVersion(now time.Duration, version uint64) {
	if !n.hasPending || n.pendingVersion != version {
		n.pendingVersion, n.hasPending = version, true
		n.reportMembership(now)
	}
}

// ConfigLeaseExpiry returns until when this front may use a version, on its own clock; 0 for never.
func (n *Node) ConfigLeaseExpiry(version uint64) time.Duration { return n.configExpiry[version] }

// usesVersion reports whether this front uses a version or is about to.
func (n *Node) usesVersion(version uint64) bool {
	return version == n.activeVersion || n.hasPending && version == n.pendingVersion
}

// onConfigLeases handles renewals on their way from the leader: those of this front, which count from its request, and those
// of fronts behind it.
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
