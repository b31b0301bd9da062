package fleet

import "time"

// member is a front's latest membership record.
type member struct {
	MembershipRecord
	reportedAt time.Duration
}

// memberTable is the fronts as they report themselves to the leader.
type memberTable struct {
	members    map[string]*member
	retryAt    map[string]time.Duration // by front: no join or leave of it is proposed before
	duplicates map[string]*duplicate    // processes that use another process's name
}

func newMemberTable() memberTable {
	return memberTable{
		members:    map[string]*member{},
		retryAt:    map[string]time.Duration{},
		duplicates: map[string]*duplicate{},
	}
}

// duplicate is a process that uses another live process's name: when it first and last reported, and how often.
type duplicate struct {
	incarnation                 uint64
	firstReportAt, lastReportAt time.Duration
	reports                     int
}

// onMembership handles a front's membership record.
func (l *leader) onMembership(now time.Duration, report MembershipRecord) {
	front := l.node.state.Fronts[report.Name]
	if front != nil && front.isPast(report.Incarnation) {
		l.reply(now, report.Name, &LeaderReply{Displaced: report.Incarnation})
		return
	}
	known := l.members[report.Name]
	if front == nil && l.announcedByAnother(now, known, &report) {
		return
	}
	if front != nil && front.Incarnation != report.Incarnation && l.nameInUse(now, front, known, report) {
		return
	}
	if d := l.duplicates[report.Name]; d != nil && d.incarnation != report.Incarnation {
		if now-d.lastReportAt >= l.node.options.Timing.reportInterval()/2 { // records that were delayed arrive together, and count once
			d.lastReportAt = now
			d.reports++
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

// announcedByAnother reports whether a name that is not in the replicated state yet was reported a moment ago by another process.
// Joins may take long to be applied: until then a late record of a process long gone must not follow the live one's.
func (l *leader) announcedByAnother(now time.Duration, known *member, report *MembershipRecord) bool {
	if known == nil || known.Incarnation == report.Incarnation || known.Leaving {
		return false
	}
	return now-known.reportedAt < 3*l.node.options.Timing.reportInterval()
}

// frontOf is a front's replicated membership as it reports it.
func frontOf(report *MembershipRecord) *Front {
	return &Front{
		Name:        report.Name,
		Incarnation: report.Incarnation,
		Zone:        report.Zone,
		Address:     report.Address,
		Version:     report.Version,
	}
}

// matches reports whether a front's replicated membership is what it reports.
func (front *Front) matches(report *MembershipRecord) bool {
	return front != nil && front.Incarnation == report.Incarnation && front.Address == report.Address &&
		front.Zone == report.Zone && front.Version == report.Version
}

// queueConfigLeases queues the configuration leases that a front requests. They are confirmed by the next round, which begins
// after this report.
func (l *leader) queueConfigLeases(now time.Duration, report *MembershipRecord) {
	if !report.WantsConfigLease || len(l.configRenewals) >= 4*maxKnownFronts {
		return
	}
	pending := pendingRenewal{
		name:        report.Name,
		incarnation: report.Incarnation,
		seq:         report.Seq,
		round:       l.voter.readRounds + 1,
		receivedAt:  now,
		version:     report.ActiveVersion,
	}
	l.configRenewals = append(l.configRenewals, pending)
	if report.HasPending {
		pending.version = report.PendingVersion
		l.configRenewals = append(l.configRenewals, pending)
	}
}

// queueRenewals queues the leases that a front wants renewed, for the next confirmation round.
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

// nameInUse reports whether a name still belongs to another process. A process that reports keeps its name, so that neither a
// late record of a process long gone nor a second process displaces it. A second process that keeps reporting is displaced.
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
	case now-other.firstReportAt > 3*l.node.options.Timing.LeaseDuration && other.reports > 3:
		l.reply(now, report.Name, &LeaderReply{Displaced: report.Incarnation})
	}
	return true
}

// removeDeparted removes fronts from the replicated state that have been silent for long, or left.
func (l *leader) removeDeparted(now time.Duration) {
	departed := func(name string, _ *Front) bool { return l.hasDeparted(now, name) && now >= l.retryAt[name] }
	for _, name := range sortedMatches(l.node.state.Fronts, departed) {
		l.retryAt[name] = now + 2*l.node.options.Timing.electionTimeout()
		delete(l.members, name)
		l.voter.propose(&Command{Op: opLeave, Target: name, Incarnation: l.node.state.Fronts[name].Incarnation})
	}
}

// hasDeparted reports whether a front has been silent for long, or for a while after it reported that it leaves.
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
