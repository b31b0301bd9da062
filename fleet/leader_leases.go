package fleet

import (
	"cmp"
	"hash/crc32"
	"maps"
	"slices"
	"time"
)

// leaseTimer is when a lease expires, in the leader's view.
type leaseTimer struct {
	term           uint64
	expiresAt      time.Duration
	grantedAt      time.Duration
	progress       uint64
	progressAt     time.Duration
	transferringAt time.Duration // a grant is proposed: the old term is not renewed any more
	transferring   bool
	transferringTo string // the front of that grant
}

// leaseTable is what the leader knows of leases beyond the replicated state.
type leaseTable struct {
	timers      map[string]*leaseTimer
	transfers   map[string]transfer      // by lease: transfers that were requested
	declaring   map[string]time.Duration // declarations on their way through the log, with their bounds
	pausedUntil map[string]time.Duration // by pauseKey, see backoffEnd
	offloadedAt time.Duration            // when it released a lease of its own last
}

func newLeaseTable() leaseTable {
	return leaseTable{
		timers:      map[string]*leaseTimer{},
		transfers:   map[string]transfer{},
		declaring:   map[string]time.Duration{},
		pausedUntil: map[string]time.Duration{},
	}
}

// renewalQueue is the renewals that wait for a majority to confirm that this voter still leads.
type renewalQueue struct {
	unconfirmed    []pendingRenewal // of leases, received since the last confirmation round began
	confirming     []pendingRenewal // of leases, waiting for a confirmation round
	configRenewals []pendingRenewal // of configuration leases
}

// pendingRenewal is a renewal of a lease, or of a configuration lease, that waits for a confirmation round.
type pendingRenewal struct {
	name        string
	incarnation uint64
	seq         uint64
	renewal     LeaseRenewal
	receivedAt  time.Duration
	round       uint64

	version uint64 // of a configuration lease
}

// newTimer returns the timer of a lease that runs from now for a full lease duration, with the leader's margin.
func (l *leader) newTimer(lease *Lease, now time.Duration) *leaseTimer {
	timer := &leaseTimer{term: lease.Term, grantedAt: now, progressAt: now, expiresAt: now + l.node.options.Timing.leaderLease()}
	if lease.Leaseholder == "" {
		timer.expiresAt = now
	}
	return timer
}

// hasUnconfirmed reports whether renewals wait for a confirmation round.
func (l *leader) hasUnconfirmed() bool { return len(l.unconfirmed) > 0 }

// onQuorumConfirmed handles a majority's confirmation that this voter led when the round began: all renewals received before
// that are granted.
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
		timer.expiresAt = max(timer.expiresAt, pending.receivedAt+l.node.options.Timing.leaderLease())
		if pending.renewal.Progress != timer.progress {
			timer.progress, timer.progressAt = pending.renewal.Progress, now
		}
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

// requestRelease requests that a leaseholder which is alive but makes no progress releases its lease. A lease that it does not
// release expires, since it is not renewed any more.
func (l *leader) requestRelease(now time.Duration, lease *Lease, timer *leaseTimer) {
	if timer.transferringAt != 0 && now-timer.transferringAt < l.node.options.Timing.HeartbeatInterval() {
		return
	}
	timer.transferringAt = now
	l.reply(now, lease.Leaseholder, &LeaderReply{Release: lease.Name, Term: lease.Term})
}

// eligible reports whether a front can be granted a lease now.
func (l *leader) eligible(now time.Duration, known *member) bool {
	front := l.node.state.Fronts[known.Name]
	recent := now-known.reportedAt < 2*l.node.options.Timing.reportInterval()
	joined := front != nil && front.Incarnation == known.Incarnation
	return known.AcceptsLeases && !known.Leaving && recent && joined
}

// backoff is how long a front is not granted a lease that it has lost so often.
func (l *leader) backoff(losses uint32) time.Duration {
	if losses == 0 {
		return 0
	}
	return l.node.options.Timing.LeaseDuration << min(losses, 6)
}

// backoffEnd is when a front may be granted a lease again that it lost. Losses before this leader's time count from its start.
func (l *leader) backoffEnd(lease *Lease, front string) time.Duration {
	if until, ok := l.pausedUntil[pauseKey(lease.Name, front)]; ok {
		return until
	}
	if losses := lease.losses(front); losses > 0 {
		return l.since + l.backoff(losses)
	}
	return 0
}

func pauseKey(leaseName, front string) string { return leaseName + "\x00" + front }

// recordLoss counts a loss in a command that ends a lease, where its holder let it expire or made no progress; after a long tenure the
// count starts anew.
func (l *leader) recordLoss(now time.Duration, c *Command, timer *leaseTimer, expired bool) {
	lease := l.node.state.Leases[c.Lease]
	idle := lease.Bound > 0 && now-timer.progressAt > lease.Bound
	switch {
	case lease.Leaseholder == "" || !expired && !idle:
		return
	case !expired:
		c.Reason = reasonNoProgress
	}
	c.LostBy, c.LossCount = lease.Leaseholder, 1
	if now-timer.grantedAt <= 32*l.node.options.Timing.LeaseDuration {
		c.LossCount = lease.losses(lease.Leaseholder) + 1
	}
}

// grantOptions say why a lease is granted, and to whom if there is a choice.
type grantOptions struct {
	preferred string // the front that is requested, "" for none
	reason    string
	expired   bool // the last holder let it expire
}

// grant proposes a leaseholder: the preferred front, if eligible, else the best candidate.
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

// bestCandidate returns the eligible front with the lowest candidateRank, nil for none. A front that lost the lease recently waits
// for its backoff; one that released it does not get it back at once; and one with as many leases as a membership record can renew
// gets no more.
func (l *leader) bestCandidate(now time.Duration, lease *Lease, preferred string) (best *member) {
	byFront, byZone := l.countLeases()
	onTheirWay := l.countGrants()
	var bestRank candidateRank
	for _, name := range slices.Sorted(maps.Keys(l.members)) {
		known := l.members[name]
		isCurrentHolder := name == lease.Leaseholder && known.Incarnation == lease.Incarnation
		if isCurrentHolder || !l.eligible(now, known) || now < l.backoffEnd(lease, name) {
			continue
		}
		if byFront[name]+onTheirWay[name] >= maxRenewals {
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
		case l.node.options.Name: // see offload
			rank[0]++
		}
		if best == nil || slices.Compare(rank[:], bestRank[:]) < 0 {
			best, bestRank = known, rank
		}
	}
	return best
}

// candidateRank orders candidates for a lease: by the leases of the front, by those of its zone, by how often it recently lost this
// one, and by a hash.
type candidateRank [4]int

// countLeases counts the leases of each front and of each zone.
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

// countGrants counts the grants to each front that are proposed and not applied yet.
func (l *leader) countGrants() map[string]int {
	byFront := map[string]int{}
	for _, timer := range l.timers {
		if timer.transferring && timer.transferringTo != "" {
			byFront[timer.transferringTo]++
		}
	}
	return byFront
}

// offload transfers a lease that the leader itself holds to a front with no more leases. Otherwise one failed process would cost
// an election and a lease duration, one after the other.
func (l *leader) offload(now time.Duration) {
	timing := l.node.options.Timing
	if now-l.since < timing.LeaseDuration || now-l.offloadedAt < timing.LeaseDuration {
		return
	}
	leaseCounts := map[string]int{}
	ownName := ""
	for name, lease := range l.node.state.Leases {
		leaseCounts[lease.Leaseholder]++
		if ownLease := l.node.ownLeases[name]; lease.Leaseholder == l.node.options.Name && ownLease != nil && ownLease.announced && !ownLease.releasing {
			ownName = max(ownName, name)
		}
	}
	if ownName == "" {
		return
	}
	self := l.node.options.Name
	for name, known := range l.members {
		if name == self || leaseCounts[name] > leaseCounts[self] || now < l.pausedUntil[pauseKey(ownName, name)] {
			continue
		}
		if l.eligible(now, known) {
			l.offloadedAt = now
			l.node.releaseLease(now, ownName, "", reasonLeaderOffloads)
			return
		}
	}
}

// renewConfigLeases renews the configuration leases that were requested before a confirmed round. A version that the replicated
// state does not allow is not renewed; earlier renewals of it are left to expire.
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
