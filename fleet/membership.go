package fleet

import (
	"maps"
	"slices"
	"time"
)

// reportVersion identifies, by its incarnation and its Seq, the latest membership record of a front that this front sent or forwarded, and
// says when that was. A record of the same incarnation that is not newer is dropped.
type reportVersion struct {
	incarnation, seq uint64
	at               time.Duration
}

// membershipState holds the contents of a Node's own membership records, and the records of other fronts that it forwards.
type membershipState struct {
	reportSeq       uint64                             // the Seq of this front's last record
	reportedAt      time.Duration                      // when this front sent its last record
	sentAt          [rememberedSendTimes]time.Duration // by Seq modulo the length: when this front sent its records
	pendingReports  map[string]MembershipRecord        // by front: records that are forwarded at the next tick
	latestReports   map[string]reportVersion           // by front
	digests         []Digest                           // the digests of this front's subsystems
	leaving         bool                               // this front is shutting down, see Leave
	leasesSuspended bool                               // this front accepts no leases for now, see SetLeasesSuspended
}

func newMembershipState() membershipState {
	return membershipState{pendingReports: map[string]MembershipRecord{}, latestReports: map[string]reportVersion{}}
}

// reportMembership sends this front's membership record to the leader, with the leases that it renews.
func (n *Node) reportMembership(now time.Duration) {
	if n.isDisplaced {
		return
	}
	n.reportSeq++
	n.reportedAt = now
	n.sentAt[n.reportSeq%rememberedSendTimes] = now
	report := MembershipRecord{
		Name:             n.options.Name,
		Incarnation:      n.options.Incarnation,
		Seq:              n.reportSeq,
		Zone:             n.options.Zone,
		Address:          n.options.Address,
		Version:          n.options.Version,
		Index:            n.state.Index,
		AcceptsLeases:    n.options.AcceptsLeases && !n.leaving && !n.leasesSuspended,
		Leaving:          n.leaving,
		ActiveVersion:    n.activeVersion,
		WantsConfigLease: n.options.ConfigLease > 0,
		PendingVersion:   n.pendingVersion,
		HasPending:       n.hasPending,
		Digests:          n.digests,
	}
	for _, leaseName := range slices.Sorted(maps.Keys(n.ownLeases)) {
		if len(report.Renewals) == maxRenewals {
			break // a leader of an older program granted more leases: peers reject a longer record, so the other leases expire
		}
		if own := n.ownLeases[leaseName]; !own.releasing {
			report.Renewals = append(report.Renewals, LeaseRenewal{Lease: leaseName, Term: own.term, Progress: own.progress})
		}
	}
	n.forwardMembership(now, "", report)
}

// forwardMembership forwards a membership record to the next hop towards the leader, or handles it where this front is the leader. It
// forwards only records that are newer than the last one of the same front, so a record can't loop.
func (n *Node) forwardMembership(now time.Duration, from string, report MembershipRecord) {
	latest, ok := n.latestReports[report.Name]
	if ok && latest.incarnation == report.Incarnation && report.Seq <= latest.seq || !ok && len(n.latestReports) >= maxKnownFronts {
		return
	}
	n.latestReports[report.Name] = reportVersion{report.Incarnation, report.Seq, now}
	n.learnRoute(now, report.Name, from)
	if n.leader != nil {
		n.leader.onMembership(now, report)
		return
	}
	if len(n.pendingReports) < maxMembers {
		n.pendingReports[report.Name] = report
	}
}

// SetDigest sets the digest of a subsystem, which is sent with this front's membership records. It ignores a digest that is too
// long.
func (n *Node) SetDigest(subsystem string, data []byte) {
	if len(data) > maxDigestBytes {
		return
	}
	others := slices.DeleteFunc(slices.Clone(n.digests), func(d Digest) bool { return d.Subsystem == subsystem })
	n.digests = slices.Concat(others, []Digest{{Subsystem: subsystem, Data: data}})
}

// SetLeasesSuspended sets whether this front's leases are suspended: it then releases its leases and accepts no new ones. It is for a
// front whose configuration lease does not allow it to act.
func (n *Node) SetLeasesSuspended(now time.Duration, suspended bool) {
	if n.leasesSuspended == suspended {
		return
	}
	n.leasesSuspended = suspended
	for _, leaseName := range slices.Sorted(maps.Keys(n.ownLeases)) {
		if suspended {
			n.releaseLease(now, leaseName, "", reasonNoConfigLease)
		}
	}
	n.reportMembership(now)
}

// removeSilentFronts removes the routes and the report versions of fronts from which nothing was received for 40 lease durations.
func (n *Node) removeSilentFronts(now time.Duration) {
	old := now - 40*n.options.Timing.LeaseDuration
	for name, route := range n.routes {
		if route.at < old {
			delete(n.routes, name)
		}
	}
	for name, version := range n.latestReports {
		if version.at < old {
			delete(n.latestReports, name)
		}
	}
}

// reportWhenDue sends this front's membership record at its interval, which is shorter while this front holds leases.
func (n *Node) reportWhenDue(now time.Duration) {
	interval := n.options.Timing.reportInterval()
	if len(n.ownLeases) > 0 {
		interval = min(interval, n.options.Timing.HeartbeatInterval())
	}
	if now-n.reportedAt >= interval {
		n.reportMembership(now)
	}
}

// sendPendingReports forwards the membership records received since the last tick in one message to the next hop towards the leader.
func (n *Node) sendPendingReports() {
	if len(n.pendingReports) == 0 || n.upstream == "" {
		return
	}
	m := &Message{Kind: KindMembership, From: n.options.Name}
	for _, name := range slices.Sorted(maps.Keys(n.pendingReports)) {
		m.Members = append(m.Members, n.pendingReports[name])
	}
	clear(n.pendingReports)
	n.send(n.upstream, m)
}
