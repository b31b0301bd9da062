package fleet

import "time"

// member is a front's latest membership record, and when the leader received it.
type member struct {
	MembershipRecord
	reportedAt time.Duration
}

// memberTable is the leader's state of the fronts that report to it.
type memberTable struct {
	members    map[string]*member
	retryAt    map[string]time.Duration // by front: the earliest time to propose its join or leave again
	duplicates map[string]*duplicate    // by front: a process that uses the name of another live process
}

func newMemberTable() memberTable {
	return memberTable{
		members:    map[string]*member{},
		retryAt:    map[string]time.Duration{},
		duplicates: map[string]*duplicate{},
	}
}

// duplicate is a process that uses the name of another live process, the owner of the name.
type duplicate struct {
	incarnation                  uint64
	firstReportAt, ownerReportAt time.Duration // when the duplicate first reported, and when ownerReports last rose
	ownerReports                 int           // the number of membership records of the owner since firstReportAt
}

// onMembership handles a front's membership record. It ignores a record that is not newer than the last one. It proposes the join of
// a front that is new or changed, and queues the leases that the record renews.
func (l *leader) onMembership(now time.Duration, report MembershipRecord) {
	front := l.node.state.Fronts[report.Name]
	if front != nil && front.isPast(report.Incarnation) {
		l.reply(now, report.Name, &LeaderReply{DisplacedIncarnation: report.Incarnation})
		return
	}
	known := l.members[report.Name]
	if front == nil && l.reportedByAnother(now, known, &report) {
		return
	}
	if front != nil && front.Incarnation != report.Incarnation && l.nameInUse(now, front, known, report) {
		return
	}
	if d := l.duplicates[report.Name]; d != nil && d.incarnation != report.Incarnation {
		if now-d.ownerReportAt >= l.node.options.Timing.reportInterval()/2 { // delayed records arrive together and count as one
			d.ownerReportAt = now
			d.ownerReports++
		}
	}
	if known == nil && len(l.members) >= maxKnownFronts {
		return
	}
	if known != nil && known.Incarnation == report.Incarnation && report.Seq <= known.Seq {
		return
	}
	l.members[report.Name] = &member{report, now}
	if !l.ready {
		return
	}
	if !report.Leaving && !front.matches(&report) && now >= l.retryAt[report.Name] {
		l.retryAt[report.Name] = now + 2*l.node.options.Timing.electionTimeout()
		l.voter.propose(&Command{Op: opJoin, Front: frontOf(&report)})
	}
	l.queueConfigLeases(now, &report)
	l.queueRenewals(now, &report)
}

// reportedByAnother reports whether another process reported a name recently that is not yet in the replicated state. The join of
// that process may take long to be applied. Until then a delayed record of a process that ended long ago must not replace its record.
func (l *leader) reportedByAnother(now time.Duration, known *member, report *MembershipRecord) bool {
	if known == nil || known.Incarnation == report.Incarnation || known.Leaving {
		return false
	}
	return now-known.reportedAt < 3*l.node.options.Timing.reportInterval()
}

// frontOf returns the replicated membership of a front according to its membership record.
func frontOf(report *MembershipRecord) *Front {
	return &Front{
		Name:        report.Name,
		Incarnation: report.Incarnation,
		Zone:        report.Zone,
		Address:     report.Address,
		Version:     report.Version,
	}
}

// matches reports whether a front's replicated membership agrees with its membership record. It is false where front is nil.
func (front *Front) matches(report *MembershipRecord) bool {
	return front != nil && front.Incarnation == report.Incarnation && front.Address == report.Address &&
		front.Zone == report.Zone && front.Version == report.Version
}

// queueConfigLeases queues the configuration leases that a front requests. The next confirmation round confirms them, because it
// starts after this report was received.
func (l *leader) queueConfigLeases(now time.Duration, report *MembershipRecord) {
	if !report.WantsConfigLease || len(l.configRenewals) >= 4*maxKnownFronts {
		return
	}
	pending := pendingRenewal{
		name:        report.Name,
		incarnation: report.Incarnation,
		seq:         report.Seq,
		round:       l.voter.roundsStarted + 1,
		receivedAt:  now,
		version:     report.ActiveVersion,
	}
	l.configRenewals = append(l.configRenewals, pending)
	if report.HasPending {
		pending.version = report.PendingVersion
		l.configRenewals = append(l.configRenewals, pending)
	}
}

// queueRenewals queues the leases that a front renews for the next confirmation round. It ignores the leases that the front does
// not hold.
func (l *leader) queueRenewals(now time.Duration, report *MembershipRecord) {
	for _, renewal := range report.Renewals {
		lease, timer := l.node.state.Leases[renewal.Lease], l.timers[renewal.Lease]
		if lease == nil || timer == nil || timer.transferring || !lease.isHolder(report.Name, report.Incarnation, renewal.Term) {
			continue
		}
		l.unconfirmed = append(l.unconfirmed, pendingRenewal{
			name:        report.Name,
			incarnation: report.Incarnation,
			seq:         report.Seq,
			renewal:     renewal,
			receivedAt:  now,
		})
	}
}

// nameInUse reports whether a name still belongs to another process than the one that sent report. front is the replicated membership of
// the owner of the name, which is that other process. known is the last record that the leader received under the name, nil for none.
//
// Where the result is true, the caller ignores report. It is false once the owner has reported that it is leaving, or has not reported
// for 3 report intervals; the sender of report may then take the name.
//
// A process that keeps reporting keeps its name: neither a delayed record of a process that ended long ago nor a second process displaces
// it. The second process is displaced, which the leader tells it in a reply, if it still reports after more than 3 lease durations in
// which the owner reported more than 3 times. The result stays true then.
func (l *leader) nameInUse(now time.Duration, front *Front, known *member, report MembershipRecord) bool {
	lastContact := l.since
	if known != nil && known.Incarnation == front.Incarnation {
		if known.Leaving {
			return false
		}
		lastContact = known.reportedAt
	}
	if now-lastContact >= 3*l.node.options.Timing.reportInterval() {
		delete(l.duplicates, report.Name)
		return false
	}
	other, ok := l.duplicates[report.Name]
	switch {
	case !ok || other.incarnation != report.Incarnation:
		if len(l.duplicates) < maxKnownFronts {
			l.duplicates[report.Name] = &duplicate{report.Incarnation, now, now, 0}
		}
	case now-other.firstReportAt > 3*l.node.options.Timing.LeaseDuration && other.ownerReports > 3:
		l.reply(now, report.Name, &LeaderReply{DisplacedIncarnation: report.Incarnation})
	}
	return true
}

// removeDeparted proposes the removal of the fronts that have departed.
func (l *leader) removeDeparted(now time.Duration) {
	departed := func(name string, _ *Front) bool { return l.hasDeparted(now, name) && now >= l.retryAt[name] }
	for _, name := range sortedMatches(l.node.state.Fronts, departed) {
		l.retryAt[name] = now + 2*l.node.options.Timing.electionTimeout()
		delete(l.members, name)
		l.voter.propose(&Command{Op: opLeave, Target: name, Incarnation: l.node.state.Fronts[name].Incarnation})
	}
}

// hasDeparted reports whether a front has sent no record for 20 lease durations, or for 2 after a record that it is leaving.
func (l *leader) hasDeparted(now time.Duration, name string) bool {
	leaseDuration := l.node.options.Timing.LeaseDuration
	member := l.members[name]
	switch {
	case member == nil:
		return now-l.since > 20*leaseDuration
	case member.Leaving:
		return now-member.reportedAt > 2*leaseDuration
	}
	return now-member.reportedAt > 20*leaseDuration
}
