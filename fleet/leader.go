package fleet

import "time"

// leader is the state of the leading voter beyond the replicated state: when leases expire, and which fronts are alive. It is not
// replicated: a new leader waits for a full lease duration before it grants a lease that was not released.
//
// A renewal counts from when it was received. It is granted once a majority has confirmed, after it was received, that this voter
// still leads. So a leader that was paused or partitioned does not renew a lease that its successor has granted to another front.
type leader struct {
	node       *Node
	voter      *voter
	since      time.Duration // when its leadership began, or when it became ready
	ready      bool          // all entries that were committed before its term are applied
	heartbeats uint64        // the number of heartbeats that were sent in its term
	lastTickAt time.Duration
	leaseTable
	memberTable
	renewalQueue
	proposals proposalMemory
}

// newLeader returns a leader that is not ready. activate makes it ready.
func newLeader(n *Node, v *voter, now time.Duration) *leader {
	return &leader{
		node:        n,
		voter:       v,
		since:       now,
		lastTickAt:  now,
		leaseTable:  newLeaseTable(),
		memberTable: newMemberTable(),
		proposals:   newProposalMemory(now),
	}
}

// activate marks the leader as ready and starts the timers of all leases. It is called once all entries that were committed before
// the leader's term are applied.
func (l *leader) activate(now time.Duration) {
	if l.ready {
		return
	}
	l.ready, l.since = true, now
	for name, lease := range l.node.state.Leases {
		l.timers[name] = l.newTimer(lease, now)
	}
}

// heartbeat floods a heartbeat to the whole fleet, unless the last one was sent less than nine tenths of an interval ago.
func (l *leader) heartbeat(now time.Duration) {
	n := l.node
	early := now-n.heartbeatAt < n.options.Timing.HeartbeatInterval()*9/10
	if !l.ready || early && l.heartbeats > 0 {
		return
	}
	l.heartbeats++
	n.heartbeat = fence{l.voter.term, l.heartbeats}
	n.heartbeatAt = now
	n.heartbeatFrom = n.options.Name
	n.upstream = ""
	n.endIsolation()
	n.flood(&Message{Kind: KindHeartbeat, From: n.options.Name, Term: l.voter.term, Number: l.heartbeats, Index: n.state.Index}, "")
	n.updateNeighbours()
}

// reply sends a reply to a front.
func (l *leader) reply(now time.Duration, name string, reply *LeaderReply) {
	l.node.routeToFront(now, &Message{Kind: KindReply, From: l.node.options.Name, Name: name, Reply: reply})
}

// tick starts a confirmation round for new renewals, grants vacant and expired leases, removes fronts that left, and offloads a
// lease. Only a leader that a majority confirmed recently does more than start the round.
func (l *leader) tick(now time.Duration) {
	l.extendForPause(now)
	l.startConfirmation(now)
	recentlyConfirmed := now-l.voter.confirmedAt <= 2*l.node.options.Timing.HeartbeatInterval()
	if l.node.leader != l || !l.ready || !recentlyConfirmed {
		return
	}
	l.checkLeases(now)
	l.removeDeparted(now)
	l.offloadOwnLease(now)
	l.proposals.rotate(now, l.node.options.Timing.LeaseDuration)
	l.voter.processReady(now)
}

// extendForPause detects a pause of this process, during which it could not receive renewals. It extends the timers of all leases
// and members by the length of the pause.
func (l *leader) extendForPause(now time.Duration) {
	pause := now - l.lastTickAt
	l.lastTickAt = now
	if pause <= 4*l.node.options.Timing.TickInterval() {
		return
	}
	for _, timer := range l.timers {
		timer.expiresAt += pause
		timer.progressAt += pause
	}
	for _, known := range l.members {
		known.reportedAt += pause
	}
}

// startConfirmation starts a confirmation round for the renewals received since the last round. This voter may have lost the
// leadership when startConfirmation returns.
func (l *leader) startConfirmation(now time.Duration) {
	if len(l.unconfirmed) == 0 || l.voter.heartbeatsSuspended {
		return
	}
	if l.voter.roundStartedAt != now {
		l.voter.startRound(now)
	}
	for _, pending := range l.unconfirmed {
		pending.round = l.voter.roundsStarted
		l.confirming = append(l.confirming, pending)
	}
	l.unconfirmed = l.unconfirmed[:0]
	l.voter.processReady(now)
}

// checkLeases grants the leases that have no holder or that expired, and requests the release of leases without progress.
func (l *leader) checkLeases(now time.Duration) {
	due := func(name string, lease *Lease) bool { return l.conditionOf(now, lease, l.timers[name]) != leaseOK }
	for _, name := range sortedMatches(l.node.state.Leases, due) {
		lease, timer := l.node.state.Leases[name], l.timers[name]
		switch l.conditionOf(now, lease, timer) {
		case leaseVacant:
			l.grant(now, lease, timer, grantOptions{reason: reasonVacant})
		case leaseExpired:
			l.grant(now, lease, timer, grantOptions{reason: reasonExpired, expired: true})
		case leaseStalled:
			l.requestRelease(now, lease, timer)
		}
	}
}

// leaseCondition classifies a lease by the action that the leader has to take.
type leaseCondition uint8

const (
	leaseOK      leaseCondition = iota // no action is due
	leaseVacant                        // no front holds the lease
	leaseExpired                       // the holder did not renew the lease in time
	leaseStalled                       // the holder made no progress within the bound
)

// conditionOf returns the condition of a lease. No action is due on a lease whose grant is proposed, until that proposal times out.
func (l *leader) conditionOf(now time.Duration, lease *Lease, timer *leaseTimer) leaseCondition {
	grantTimeout := 4 * l.node.options.Timing.electionTimeout()
	switch {
	case timer == nil || timer.transferring && now-timer.transferringAt < grantTimeout:
		return leaseOK
	case lease.Leaseholder == "":
		return leaseVacant
	case now >= timer.expiresAt:
		return leaseExpired
	case lease.Bound > 0 && now-timer.progressAt > lease.Bound:
		return leaseStalled
	}
	return leaseOK
}

// onApplied updates the leader's state after a command was applied to the replicated state. err is the error of the command.
func (l *leader) onApplied(now time.Duration, c *Command, err error) {
	if !l.ready || err != nil {
		return
	}
	switch c.Op {
	case opDeclareLease:
		if l.pendingDeclarations[c.Lease] == c.Bound {
			delete(l.pendingDeclarations, c.Lease)
		}
		if l.timers[c.Lease] == nil {
			l.timers[c.Lease] = l.newTimer(l.node.state.Leases[c.Lease], now)
		}
	case opGrantLease, opVacateLease:
		lease := l.node.state.Leases[c.Lease]
		l.timers[c.Lease] = l.newTimer(lease, now)
		if c.LostBy != "" {
			l.backoffUntil[backoffKey(c.Lease, c.LostBy)] = now + l.backoff(c.LossCount)
		}
		l.completeTransfer(now, lease)
	case opJoin:
		delete(l.retryAt, c.Front.Name)
	}
}
