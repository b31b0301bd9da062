package fleet

import (
	"maps"
	"slices"
	"time"
)

// reportVersion identifies a front's latest membership record that passed here.
type reportVersion struct {
	incarnation, seq uint64
	at               time.Duration
}

// membershipState is what a Node reports of itself, and other fronts' reports on their way to the leader.
type membershipState struct {
	reportSeq      uint64
	reportedAt     time.Duration
	sentAt         [rememberedSendTimes]time.Duration // by Seq
	pendingReports map[string]MembershipRecord        // to be forwarded with the next tick
	latestReports  map[string]reportVersion
	digests        []Digest
	leaving        bool
	idle           bool // it takes no leases for now, whatever its options say
}

func newMembershipState() membershipState {
	return membershipState{pendingReports: map[string]MembershipRecord{}, latestReports: map[string]reportVersion{}}
}

// reportMembership sends this front's membership record, with the leases that it renews, towards the leader.
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
		AcceptsLeases:    n.options.AcceptsLeases && !n.leaving && !n.idle,
		Leaving:          n.leaving,
		ActiveVersion:    n.activeVersion,
		WantsConfigLease: n.options.ConfigLease > 0,
		PendingVersion:   n.pendingVersion,
		HasPending:       n.hasPending,
		Digests:          n.digests,
	}
	for _, leaseName := range slices.Sorted(maps.Keys(n.ownLeases)) {
		if len(report.Renewals) == maxRenewals {
			break // a leader of an older program granted more: peers refuse a longer record, so the others expire
		}
		if own := n.ownLeases[leaseName]; !own.releasing {
			report.Renewals = append(report.Renewals, LeaseRenewal{Lease: leaseName, Term: own.term, Progress: own.progress})
		}
	}
	n.forwardMembership(now, "", report)
}

// forwardMembership forwards a membership record towards the leader. Only newer records than the last one pass, so none can loop.
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

// SetDigest sets the digest of a subsystem, which is sent with this front's membership records; one that is too long is ignored.
func (n *Node) SetDigest(subsystem string, data []byte) {
	if len(data) > maxDigestBytes {
		return
	}
	others := slices.DeleteFunc(slices.Clone(n.digests), func(d Digest) bool { return d.Subsystem == subsystem })
	n.digests = slices.Concat(others, []Digest{{Subsystem: subsystem, Data: data}})
}

// SetIdle releases all leases and takes none until it is reset: for a front that may not act.
func (n *Node) SetIdle(now time.Duration, idle bool) {
	if n.idle == idle {
		return
	}
	n.idle = idle
	for _, leaseName := range slices.Sorted(maps.Keys(n.ownLeases)) {
		if idle {
			n.releaseLease(now, leaseName, "", reasonNoConfigLease)
		}
	}
	n.reportMembership(now)
}

// forgetSilent forgets routes and report versions of fronts that have been silent for long.
func (n *Node) forgetSilent(now time.Duration) {
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

// reportWhenDue sends this front's membership record, more often while it holds leases.
func (n *Node) reportWhenDue(now time.Duration) {
	interval := n.options.Timing.reportInterval()
	if len(n.ownLeases) > 0 {
		interval = min(interval, n.options.Timing.HeartbeatInterval())
	}
	if now-n.reportedAt >= interval {
		n.reportMembership(now)
	}
}

// sendPendingReports forwards the membership records that came since the last tick in one message.
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
