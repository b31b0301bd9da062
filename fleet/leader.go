package fleet

import "time"

// leader is what the leading voter knows beyond the replicated state: when leases expire, and which fronts are alive. All of it
// is lost with the leader: its successor waits for a full lease duration before it grants a lease that was not released.
//
// A renewal counts from when it was received, and only once a majority has confirmed, later than that, that this voter still
// leads: a leader that was paused or cut off renews nothing that its successor has granted to another meanwhile.
type leader struct {
	node       *Node
	voter      *voter
	since      time.Duration // of its leadership
	ready      bool          // all that was committed before its term is applied
	heartbeats uint64        // that were sent in its term
	tickedAt   time.Duration
	leaseTable
	memberTable
	renewalQueue
	proposals proposalMemory
}

func newLeader(n *Node, v *voter, now time.Duration) *leader {
	return &leader{
		node:        n,
		voter:       v,
		since:       now,
		tickedAt:    now,
		leaseTable:  newLeaseTable(),
		memberTable: newMemberTable(),
		proposals:   newProposalMemory(now),
	}
}

// activate starts the leader's work, once all that was committed before its term is applied.
func (l *leader) activate(now time.Duration) {
	if l.ready {
		return
	}
	l.ready, l.since = true, now
	for name, lease := range l.node.state.Leases {
		l.timers[name] = l.newTimer(lease, now)
	}
}

// heartbeat sends a heartbeat to the whole fleet.
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
	l.node.toFront(now, &Message{Kind: KindReply, From: l.node.options.Name, Name: name, Reply: reply})
}

// tick does what depends on time: it starts confirmation rounds, grants leases that expired, and removes fronts that left.
func (l *leader) tick(now time.Duration) {
	l.extendForPause(now)
	l.startConfirmation(now)
	recentlyConfirmed := now-l.voter.confirmedAt <= 2*l.node.options.Timing.HeartbeatInterval()
	if l.node.leader != l || !l.ready || !recentlyConfirmed {
		return
	}
	l.checkLeases(now)
	l.removeDeparted(now)
	l.offload(now)
	l.proposals.rotate(now, l.node.options.Timing.LeaseDuration)
	l.voter.process(now)
}

// extendForPause extends all leases and members by a pause of this process, during which it could not receive renewals.
func (l *leader) extendForPause(now time.Duration) {
	pause := now - l.tickedAt
	l.tickedAt = now
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

// startConfirmation starts a confirmation round for the renewals that came since the last one. This voter may have lost the
// leadership when it returns.
func (l *leader) startConfirmation(now time.Duration) {
	if len(l.unconfirmed) == 0 || l.voter.silenced {
		return
	}
	if l.voter.readAt != now {
		l.voter.confirm(now)
	}
	for _, pending := range l.unconfirmed {
		pending.round = l.voter.readRounds
		l.confirming = append(l.confirming, pending)
	}
	l.unconfirmed = l.unconfirmed[:0]
	l.voter.process(now)
}

// checkLeases grants leases that nobody holds or that expired, and requests the release of those without progress.
func (l *leader) checkLeases(now time.Duration) {
	due := func(name string, lease *Lease) bool { return l.conditionOf(now, lease, l.timers[name]) != leaseInOrder }
	for _, name := range sortedMatches(l.node.state.Leases, due) {
		lease, timer := l.node.state.Leases[name], l.timers[name]
		switch l.conditionOf(now, lease, timer) {
		case leaseVacant:
			l.grant(now, lease, timer, grantOptions{reason: reasonVacant})
		case leaseExpired:
			l.grant(now, lease, timer, grantOptions{reason: reasonExpired, expired: true})
		case leaseIdle:
			l.requestRelease(now, lease, timer)
		}
	}
}

// leaseCondition is what a leader has to act on at a lease.
type leaseCondition uint8

const (
	leaseInOrder leaseCondition = iota
	leaseVacant                 // nobody holds it
	leaseExpired
	leaseIdle // its holder makes no progress
)

// conditionOf returns the condition of a lease. One whose grant is on its way is in order, until the grant is overdue.
func (l *leader) conditionOf(now time.Duration, lease *Lease, timer *leaseTimer) leaseCondition {
	grantTimeout := 4 * l.node.options.Timing.electionTimeout()
	switch {
	case timer == nil || timer.transferring && now-timer.transferringAt < grantTimeout:
		return leaseInOrder
	case lease.Leaseholder == "":
		return leaseVacant
	case now >= timer.expiresAt:
		return leaseExpired
	case lease.Bound > 0 && now-timer.progressAt > lease.Bound:
		return leaseIdle
	}
	return leaseInOrder
}

// onApplied updates the timers after a command was applied.
func (l *leader) onApplied(now time.Duration, c *Command, err error) {
	if !l.ready || err != nil {
		return
	}
	switch c.Op {
	case opDeclareLease:
		if l.declaring[c.Lease] == c.Bound {
			delete(l.declaring, c.Lease)
		}
		if l.timers[c.Lease] == nil {
			l.timers[c.Lease] = l.newTimer(l.node.state.Leases[c.Lease], now)
		}
	case opGrantLease, opVacateLease:
		lease := l.node.state.Leases[c.Lease]
		l.timers[c.Lease] = l.newTimer(lease, now)
		if c.LostBy != "" {
			l.pausedUntil[pauseKey(c.Lease, c.LostBy)] = now + l.backoff(c.LossCount)
		}
		if pendingTransfer, ok := l.transfers[c.Lease]; ok && lease.Term > pendingTransfer.term {
			delete(l.transfers, c.Lease)
			l.reply(now, pendingTransfer.requester, &LeaderReply{RequestID: pendingTransfer.requestID})
		}
	case opJoin:
		delete(l.retryAt, c.Front.Name)
	}
}
