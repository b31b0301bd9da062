package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// ownLease is a lease that this front holds.
type ownLease struct {
	term, progress uint64
	expiresAt      time.Duration
	confirmedAt    time.Duration // when this front sent the latest report that a leader confirmed
	confirmedTerm  uint64        // the term of that leader, 0 where it is not known
	releasing      bool          // this front has stopped using the lease, and asks the leader to grant it to another front
	broadcasts     uint64        // the number of broadcasts in this term
	announced      bool          // LeaseAcquired was emitted, and LeaseEnded was not emitted since
}

// leaseState holds the leases that a Node holds and the leases that it declares, by name.
type leaseState struct {
	ownLeases      map[string]*ownLease
	declaredLeases map[string]time.Duration // the bounds of their progress
	missingLeases  map[string]uint64        // declared leases that the replicated state lacks: the latest request to declare each, or 0
}

func newLeaseState() leaseState {
	return leaseState{ownLeases: map[string]*ownLease{}, declaredLeases: map[string]time.Duration{}, missingLeases: map[string]uint64{}}
}

// DeclareLease declares a lease that one of the fronts should hold; which one is up to the leader. The holder must call ReportProgress at
// least once within each period of length bound; 0 is no bound. Where it does not, the leader asks it to release the lease, grants the
// lease to another front, and does not grant it to the former holder again until a backoff has ended. A later call with another bound
// replaces the bound.
func (n *Node) DeclareLease(leaseName string, bound time.Duration) {
	if previous, ok := n.declaredLeases[leaseName]; ok && previous != bound {
		delete(n.missingLeases, leaseName) // a pending request with the previous bound does not declare the lease as it is now
	}
	n.declaredLeases[leaseName] = bound
	n.updateMissingLease(leaseName)
}

// updateMissingLease updates missingLeases for a lease: whether this front declares the lease and the replicated state lacks it.
func (n *Node) updateMissingLease(leaseName string) {
	bound, ok := n.declaredLeases[leaseName]
	if !ok || n.state.declares(Declaration{Lease: leaseName, Bound: bound}) {
		delete(n.missingLeases, leaseName)
		return
	}
	if _, ok := n.missingLeases[leaseName]; !ok {
		n.missingLeases[leaseName] = 0
	}
}

// HoldsLease reports whether this front holds a lease now, and in which term. Call it directly before each action under the lease.
func (n *Node) HoldsLease(now time.Duration, leaseName string) (term uint64, ok bool) {
	own := n.ownLeases[leaseName]
	if own == nil || own.releasing || now >= own.expiresAt || n.isDisplaced {
		return 0, false
	}
	return own.term, true
}

// LeaseExpiry returns the time at which a lease that this front holds expires unless it is renewed, on this front's clock. It is 0
// where this front does not hold the lease.
func (n *Node) LeaseExpiry(leaseName string) time.Duration {
	if own := n.ownLeases[leaseName]; own != nil {
		return own.expiresAt
	}
	return 0
}

// LeaseConfirmed returns the term of the leader that last renewed a lease. A majority confirmed that leader later than after, which is
// a time on this front's clock. The term is 0 where the renewal did not name it.
func (n *Node) LeaseConfirmed(leaseName string) (leaderTerm uint64, after time.Duration) {
	if own := n.ownLeases[leaseName]; own != nil {
		return own.confirmedTerm, own.confirmedAt
	}
	return 0, 0
}

// ReportProgress records that this front made progress with a lease that it holds. The leader learns of it with the next renewal. It does
// nothing where this front does not hold the lease. See DeclareLease.
func (n *Node) ReportProgress(leaseName string) {
	if own := n.ownLeases[leaseName]; own != nil {
		own.progress++
	}
}

// onLeaseChanged updates this front's own lease after the replicated state of the lease changed: it starts or ends holding it.
func (n *Node) onLeaseChanged(now time.Duration, lease *Lease) {
	if f := n.fences[lease.Name]; lease.Term > f.term {
		n.fences[lease.Name] = fence{term: lease.Term}
	}
	own := n.ownLeases[lease.Name]
	isHolder := lease.Leaseholder == n.options.Name && lease.Incarnation == n.options.Incarnation && !n.isDisplaced
	if own != nil && (!isHolder || own.term != lease.Term) {
		n.dropLease(lease.Name, reasonGrantedTo+cmp.Or(lease.Leaseholder, "nobody"))
		own = nil
	}
	if !isHolder || own != nil {
		return
	}
	own = &ownLease{term: lease.Term}
	n.ownLeases[lease.Name] = own
	if n.leaving || n.leasesSuspended {
		n.releaseLease(now, lease.Name, "", reasonAcceptsNoLeases)
		return
	}
	n.extendLease(now, lease.Name, lease.RequestSeq, 0)
	n.reportMembership(now) // the lease counts from a report sent before the grant, so renew it at once
}

// extendLease extends a lease that this front holds. The lease counts from when this front sent the report seq that the leader
// confirmed, and lasts for the lease duration less the margin.
func (n *Node) extendLease(now time.Duration, leaseName string, seq, leaderTerm uint64) {
	own := n.ownLeases[leaseName]
	if seq > n.reportSeq || n.reportSeq-seq >= rememberedSendTimes || own.releasing {
		return
	}
	since := n.sentAt[seq%rememberedSendTimes]
	until := since + n.options.Timing.holderLease()
	if until <= own.expiresAt || until <= now {
		return
	}
	own.expiresAt, own.confirmedAt, own.confirmedTerm = until, since, leaderTerm
	if own.announced {
		n.emit(LeaseRenewed{Lease: leaseName, Term: own.term, Until: until, Since: since})
		return
	}
	own.announced = true
	n.emit(LeaseAcquired{Lease: leaseName, Term: own.term, Until: until, Since: since})
}

// dropLease removes a lease that this front no longer holds.
func (n *Node) dropLease(leaseName, reason string) {
	own := n.ownLeases[leaseName]
	delete(n.ownLeases, leaseName)
	if own != nil {
		n.announceEnd(leaseName, own, reason)
	}
}

// releaseLease stops using a lease, and then asks the leader to transfer it to the front to, or to any front where to is "".
func (n *Node) releaseLease(now time.Duration, leaseName, to, reason string) {
	own := n.ownLeases[leaseName]
	if own == nil || own.releasing {
		return
	}
	own.releasing = true
	n.announceEnd(leaseName, own, reason)
	n.Request(now, Request{Type: RequestRelease, Lease: leaseName, Term: own.term, To: to})
}

// Leave starts this front's shutdown: it releases its leases, reports that it is leaving, transfers the leadership if it leads, and
// accepts no new leases.
func (n *Node) Leave(now time.Duration) {
	n.leaving = true
	for _, leaseName := range slices.Sorted(maps.Keys(n.ownLeases)) {
		n.releaseLease(now, leaseName, "", reasonShutdown)
	}
	n.reportMembership(now)
	if n.voter != nil {
		n.voter.transferLeadership()
		n.voter.processReady(now)
	}
}

// HasLeft reports whether this front holds no lease and does not lead. After Leave it becomes true once the replicated state no longer
// names this front as a leaseholder. It may also be true of a front that is not leaving.
func (n *Node) HasLeft() bool {
	return len(n.ownLeases) == 0 && (n.voter == nil || !n.voter.isLeader())
}

// LeaseKind returns the part of a lease's name before the first slash, such as the prefix of ProbeLease. It returns a name without a slash
// as it is.
func LeaseKind(leaseName string) string {
	kind, _, _ := strings.Cut(leaseName, "/")
	return kind
}

// endExpiredLeases emits the end of the leases that expired.
func (n *Node) endExpiredLeases(now time.Duration) {
	expired := func(_ string, own *ownLease) bool { return own.announced && now >= own.expiresAt }
	for _, name := range sortedMatches(n.ownLeases, expired) {
		n.announceEnd(name, n.ownLeases[name], reasonExpired)
	}
}

// announceEnd emits LeaseEnded for a lease, unless no LeaseAcquired was emitted before it.
func (n *Node) announceEnd(leaseName string, own *ownLease, reason string) {
	if !own.announced {
		return
	}
	own.announced = false
	n.emit(LeaseEnded{Lease: leaseName, Term: own.term, Until: own.expiresAt, Broadcasts: own.broadcasts, Reason: reason})
}
