package fleet

import (
	"cmp"
	"hash/crc32"
	"maps"
	"slices"
	"time"
)

// leaseTimer is the leader's record of when a lease expires, and of the progress that its holder reported.
type leaseTimer struct {
	term           uint64
	expiresAt      time.Duration
	grantedAt      time.Duration
	progress       uint64
	progressAt     time.Duration
	transferringAt time.Duration // when the latest grant, vacation or release of the lease was proposed or requested
	transferring   bool          // a command that ends the term is proposed: the term is no longer renewed
	transferringTo string        // the front that the proposed command grants the lease to, "" for none
}

// leaseTable is the leader's state of leases beyond the replicated state.
type leaseTable struct {
	timers              map[string]*leaseTimer
	transfers           map[string]transfer      // by lease: the latest transfer that an operator requested
	pendingDeclarations map[string]time.Duration // by lease: the bounds of declarations that are proposed and not yet applied
	backoffUntil        map[string]time.Duration // by backoffKey, see backoffEnd
	offloadedAt         time.Duration            // when the leader last released a lease that it held itself, see offloadOwnLease
}

func newLeaseTable() leaseTable {
	return leaseTable{
		timers:              map[string]*leaseTimer{},
		transfers:           map[string]transfer{},
		pendingDeclarations: map[string]time.Duration{},
		backoffUntil:        map[string]time.Duration{},
	}
}

// renewalQueue holds the renewals that wait for a majority to confirm that this voter still leads.
type renewalQueue struct {
	unconfirmed    []pendingRenewal // renewals of leases, received since the last confirmation round started
	confirming     []pendingRenewal // renewals of leases that wait for the result of a confirmation round
	configRenewals []pendingRenewal // renewals of configuration leases
}

// pendingRenewal is a requested renewal of a lease or of a configuration lease, which waits for the result of a confirmation round.
type pendingRenewal struct {
	name        string
	incarnation uint64
	seq         uint64
	renewal     LeaseRenewal
	receivedAt  time.Duration
	round       uint64 // the confirmation round whose result allows the renewal

	version uint64 // the version of a configuration lease
}

// newTimer returns the timer of a lease that expires a full lease duration plus the leader's margin after now. A lease without a
// holder expires at once.
func (l *leader) newTimer(lease *Lease, now time.Duration) *leaseTimer {
	timer := &leaseTimer{term: lease.Term, grantedAt: now, progressAt: now, expiresAt: now + l.node.options.Timing.leaderLease()}
	if lease.Leaseholder == "" {
		timer.expiresAt = now
	}
	return timer
}

// hasUnconfirmed reports whether renewals of leases were received since the last confirmation round started.
func (l *leader) hasUnconfirmed() bool { return len(l.unconfirmed) > 0 }

// onQuorumConfirmed handles a majority's confirmation that this voter still led when the round started. It grants all renewals that
// were received before the round started, and sends a heartbeat.
func (l *leader) onQuorumConfirmed(now time.Duration, round uint64) {
	renewed := map[string]*LeaderReply{}
	remaining := l.confirming[:0]
	for _, pending := range l.confirming {
		if pending.round > round {
			remaining = append(remaining, pending)
			continue
		}
		lease, timer := l.node.state.Leases[pending.renewal.Lease], l.timers[pending.renewal.Lease]
		if lease == nil || timer == nil || timer.transferring || timer.term != pending.renewal.Term {
			continue
		}
		if !lease.isHolder(pending.name, pending.incarnation, pending.renewal.Term) {
			continue
		}
		if pending.renewal.Progress != timer.progress {
			timer.progress, timer.progressAt = pending.renewal.Progress, now
		}
		if l.refusesRenewal(now, lease, timer) {
			continue
		}
		timer.expiresAt = max(timer.expiresAt, pending.receivedAt+l.node.options.Timing.leaderLease())
		reply := renewed[pending.name]
		if reply == nil || pending.seq > reply.RenewedSeq {
			reply = &LeaderReply{RenewedSeq: pending.seq}
			renewed[pending.name] = reply
		}
		if pending.seq == reply.RenewedSeq {
			reply.Renewed = append(reply.Renewed, pending.renewal)
		}
	}
	l.confirming = remaining
	l.renewConfigLeases(round)
	for _, name := range slices.Sorted(maps.Keys(renewed)) {
		l.reply(now, name, renewed[name])
	}
	l.heartbeat(now)
}

// requestRelease asks a leaseholder that is alive but makes no progress to release its lease, at most once in each heartbeat interval.
// Once the holder has received the request, it no longer renews the lease, so the lease expires even where its release is lost. See
// refusesRenewal for a holder that goes on renewing it.
func (l *leader) requestRelease(now time.Duration, lease *Lease, timer *leaseTimer) {
	if timer.transferringAt != 0 && now-timer.transferringAt < l.node.options.Timing.HeartbeatInterval() {
		return
	}
	timer.transferringAt = now
	l.reply(now, lease.Leaseholder, &LeaderReply{Release: lease.Name, Term: lease.Term})
}

// refusesRenewal reports whether a lease must be left to expire: its holder makes no progress, has renewed the lease for a lease duration
// since it was first asked to release it, and another front can be granted the lease.
func (l *leader) refusesRenewal(now time.Duration, lease *Lease, timer *leaseTimer) bool {
	if lease.Bound == 0 || now-timer.progressAt <= lease.Bound+l.node.options.Timing.LeaseDuration {
		return false
	}
	return l.bestCandidate(now, lease, "") != nil
}

// eligible reports whether a front can be granted leases now: it has joined, it accepts leases, it is not shutting down, and it
// reported recently.
func (l *leader) eligible(now time.Duration, known *member) bool {
	front := l.node.state.Fronts[known.Name]
	recent := now-known.reportedAt < 2*l.node.options.Timing.reportInterval()
	joined := front != nil && front.Incarnation == known.Incarnation
	return known.AcceptsLeases && !known.Leaving && recent && joined
}

// backoff returns how long a front is not granted a lease that it has lost the given number of times: 0 for no loss, otherwise the lease
// duration times two to the power of losses, but at most to the power of 6.
func (l *leader) backoff(losses uint32) time.Duration {
	if losses == 0 {
		return 0
	}
	return l.node.options.Timing.LeaseDuration << min(losses, 6)
}

// backoffEnd returns when a front that lost a lease may be granted it again. Backoffs for losses under an earlier leader start with
// this leader's term.
func (l *leader) backoffEnd(lease *Lease, front string) time.Duration {
	if until, ok := l.backoffUntil[backoffKey(lease.Name, front)]; ok {
		return until
	}
	if losses := lease.losses(front); losses > 0 {
		return l.since + l.backoff(losses)
	}
	return 0
}

// backoffKey returns the key under which leaseTable.backoffUntil has the end of a front's backoff for a lease. It is unique for each pair.
func backoffKey(leaseName, front string) string { return leaseName + "\x00" + front }

// recordLoss adds a loss to a command that ends a term of a lease, where the holder let the lease expire or made no progress. The
// count restarts at one where the holder had held the lease for more than 32 lease durations.
func (l *leader) recordLoss(now time.Duration, c *Command, timer *leaseTimer, expired bool) {
	lease := l.node.state.Leases[c.Lease]
	stalled := lease.Bound > 0 && now-timer.progressAt > lease.Bound
	switch {
	case lease.Leaseholder == "" || !expired && !stalled:
		return
	case !expired:
		c.Reason = reasonNoProgress
	}
	c.LostBy, c.LossCount = lease.Leaseholder, 1
	if now-timer.grantedAt <= 32*l.node.options.Timing.LeaseDuration {
		c.LossCount = lease.losses(lease.Leaseholder) + 1
	}
}

// grantOptions says why a lease is granted, and which front is preferred.
type grantOptions struct {
	preferred string // the front that a request names, "" for none
	reason    string
	expired   bool // the last holder let the lease expire
}

// grant proposes a new leaseholder: the preferred front if it is a candidate, otherwise the best candidate. It does nothing where
// there is no candidate.
func (l *leader) grant(now time.Duration, lease *Lease, timer *leaseTimer, o grantOptions) {
	best := l.bestCandidate(now, lease, o.preferred)
	if best == nil {
		return
	}
	c := &Command{
		Op:          opGrantLease,
		Lease:       lease.Name,
		Term:        lease.Term,
		Target:      best.Name,
		Incarnation: best.Incarnation,
		RequestSeq:  best.Seq,
		Reason:      o.reason,
	}
	l.recordLoss(now, c, timer, o.expired)
	if l.voter.propose(c) {
		timer.transferring, timer.transferringAt, timer.transferringTo = true, now, best.Name
	}
}

// bestCandidate returns the candidate with the lowest candidateRank, nil for none. A candidate is an eligible front with these
// exceptions: the present holder, a front whose backoff for this lease has not ended, and a front that holds as many leases as a
// membership record can renew.
func (l *leader) bestCandidate(now time.Duration, lease *Lease, preferred string) (best *member) {
	byFront, byZone := l.countLeases()
	pendingGrants := l.countPendingGrants()
	var bestRank candidateRank
	for _, name := range slices.Sorted(maps.Keys(l.members)) {
		known := l.members[name]
		isCurrentHolder := name == lease.Leaseholder && known.Incarnation == lease.Incarnation
		if isCurrentHolder || !l.eligible(now, known) || now < l.backoffEnd(lease, name) {
			continue
		}
		if byFront[name]+pendingGrants[name] >= maxRenewals {
			continue
		}
		rank := candidateRank{
			2 * byFront[name],
			byZone[known.Zone],
			int(lease.losses(name)),
			int(crc32.ChecksumIEEE([]byte(lease.Name + "/" + name))),
		}
		switch name {
		case preferred:
			rank[0] = -1
		case l.node.options.Name: // the leader ranks behind other fronts with as many leases, see offloadOwnLease
			rank[0]++
		}
		if best == nil || slices.Compare(rank[:], bestRank[:]) < 0 {
			best, bestRank = known, rank
		}
	}
	return best
}

// candidateRank orders the candidates for a lease, lowest first. It consists of the number of leases of the front, the number of
// leases of its zone, how often the front recently lost this lease, and a hash.
type candidateRank [4]int

// countLeases returns the number of leases of each front and of each zone.
func (l *leader) countLeases() (byFront, byZone map[string]int) {
	byFront, byZone = map[string]int{}, map[string]int{}
	for _, lease := range l.node.state.Leases {
		if lease.Leaseholder == "" {
			continue
		}
		byFront[lease.Leaseholder]++
		if known := l.members[lease.Leaseholder]; known != nil {
			byZone[known.Zone]++
		}
	}
	return byFront, byZone
}

// countPendingGrants returns the number of grants to each front that are proposed and not yet applied.
func (l *leader) countPendingGrants() map[string]int {
	byFront := map[string]int{}
	for _, timer := range l.timers {
		if timer.transferring && timer.transferringTo != "" {
			byFront[timer.transferringTo]++
		}
	}
	return byFront
}

// offloadOwnLease releases a lease that the leader itself holds, where a candidate has no more leases than the leader. Otherwise the
// failure of one process would cost an election and then a lease duration, one after the other.
func (l *leader) offloadOwnLease(now time.Duration) {
	timing := l.node.options.Timing
	if now-l.since < timing.LeaseDuration || now-l.offloadedAt < timing.LeaseDuration {
		return
	}
	self := l.node.options.Name
	ownName := ""
	for name, lease := range l.node.state.Leases {
		if ownLease := l.node.ownLeases[name]; lease.Leaseholder == self && ownLease != nil && ownLease.announced && !ownLease.releasing {
			ownName = max(ownName, name)
		}
	}
	if ownName == "" {
		return
	}
	best := l.bestCandidate(now, l.node.state.Leases[ownName], "")
	leaseCounts, _ := l.countLeases()
	if best == nil || leaseCounts[best.Name] > leaseCounts[self] {
		return
	}
	l.offloadedAt = now
	l.node.releaseLease(now, ownName, "", reasonLeaderOffloads)
}

// renewConfigLeases renews the configuration leases that were requested before a confirmed round started. It does not renew a lease
// on a version that the replicated state does not allow: the earlier renewals of that lease expire.
func (l *leader) renewConfigLeases(round uint64) {
	type key struct {
		name    string
		version uint64
	}
	latest := map[key]Position{}
	later := l.configRenewals[:0]
	for _, pending := range l.configRenewals {
		at := key{pending.name, pending.version}
		if pending.round > round {
			later = append(later, pending)
			continue
		}
		known := l.members[pending.name]
		if known != nil && known.Incarnation == pending.incarnation && l.node.state.allowsVersion(pending.version) {
			latest[at] = Position{Name: pending.name, Term: pending.incarnation, Index: max(pending.seq, latest[at].Index), Version: pending.version}
		}
	}
	l.configRenewals = later
	all := slices.Collect(maps.Values(latest))
	slices.SortFunc(all, func(a, b Position) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Version, b.Version)) })
	if len(all) > 0 {
		l.node.onConfigLeases(all)
	}
}
