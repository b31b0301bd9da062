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
	confirmedAt    time.Duration // when the report was sent that a leader confirmed last
	confirmedTerm  uint64        // the term of that leader, 0 where it is not known
	releasing      bool
	broadcasts     uint64
	announced      bool // LeaseAcquired was emitted
}

// leaseState is the leases that a Node holds, and those that it declares.
type leaseState struct {
	ownLeases      map[string]*ownLease
	declaredLeases map[string]time.Duration // with the bound of their progress
	missingLeases  map[string]uint64        // those of them that the replicated state lacks, with the latest request to declare them
}

func newLeaseState() leaseState {
	return leaseState{ownLeases: map[string]*ownLease{}, declaredLeases: map[string]time.Duration{}, missingLeases: map[string]uint64{}}
}

// DeclareLease declares a lease that some front should hold, and report progress on within bound; 0 for no bound.
func (n *Node) DeclareLease(leaseName string, bound time.Duration) {
	if was, ok := n.declaredLeases[leaseName]; ok && was != bound {
		delete(n.missingLeases, leaseName) // a request with the old bound does not count
	}
	n.declaredLeases[leaseName] = bound
	n.noteDeclared(leaseName)
}

// noteDeclared updates whether the replicated state lacks a lease that this front declares.
func (n *Node) noteDeclared(leaseName string) {
	bound, ok := n.declaredLeases[leaseName]
	if !ok || n.state.declares(Declaration{Lease: leaseName, Bound: bound}) {
		delete(n.missingLeases, leaseName)
		return
	}
	if _, ok := n.missingLeases[leaseName]; !ok {
		n.missingLeases[leaseName] = 0
	}
}

// HoldsLease reports whether this front holds a lease now, and in which term. Call it directly before each action under the
// lease.
func (n *Node) HoldsLease(now time.Duration, leaseName string) (term uint64, ok bool) {
	own := n.ownLeases[leaseName]
	if own == nil || own.releasing || now >= own.expiresAt || n.isDisplaced {
		return 0, false
	}
	return own.term, true
}

// LeaseExpiry returns until when this front holds a lease as far as it knows, on its own clock; 0 where it holds none.
func (n *Node) LeaseExpiry(leaseName string) time.Duration {
	if own := n.ownLeases[leaseName]; own != nil {
		return own.expiresAt
	}
	return 0
}

// LeaseConfirmed returns the term of the leader that renewed a lease last, and a time of this front's clock after which that leader
// was confirmed by a majority. The term is 0 where no renewal named it.
func (n *Node) LeaseConfirmed(leaseName string) (leaderTerm uint64, after time.Duration) {
	if own := n.ownLeases[leaseName]; own != nil {
		return own.confirmedTerm, own.confirmedAt
	}
	return 0, 0
}

// ReportProgress records that the leaseholder made progress.
func (n *Node) ReportProgress(leaseName string) {
	if own := n.ownLeases[leaseName]; own != nil {
		own.progress++
	}
}

// onLeaseChanged applies a lease's replicated state to this front.
func (n *Node) onLeaseChanged(now time.Duration, lease *Lease) {
	if f := n.fences[lease.Name]; lease.Term > f.term {
		n.fences[lease.Name] = fence{term: lease.Term}
	}
	own := n.ownLeases[lease.Name]
	ours := lease.Leaseholder == n.options.Name && lease.Incarnation == n.options.Incarnation && !n.isDisplaced
	if own != nil && (!ours || own.term != lease.Term) {
		n.dropLease(lease.Name, reasonGrantedTo+cmp.Or(lease.Leaseholder, "nobody"))
		own = nil
	}
	if !ours || own != nil {
		return
	}
	own = &ownLease{term: lease.Term}
	n.ownLeases[lease.Name] = own
	if n.leaving || n.idle {
		n.releaseLease(now, lease.Name, "", reasonAcceptsNoLeases)
		return
	}
	n.extendLease(now, lease.Name, lease.RequestSeq, 0)
	n.reportMembership(now) // the request is as old as the grant took: renew at once
}

// extendLease extends a lease, less the margin, from when this front sent the report that the leader confirmed.
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

// dropLease ends a lease that another front holds now.
func (n *Node) dropLease(leaseName, reason string) {
	own := n.ownLeases[leaseName]
	delete(n.ownLeases, leaseName)
	if own != nil {
		n.announceEnd(leaseName, own, reason)
	}
}

// releaseLease stops using a lease, and notifies the leader after that.
func (n *Node) releaseLease(now time.Duration, leaseName, to, reason string) {
	own := n.ownLeases[leaseName]
	if own == nil || own.releasing {
		return
	}
	own.releasing = true
	n.announceEnd(leaseName, own, reason)
	n.Request(now, Request{Type: RequestRelease, Lease: leaseName, Term: own.term, To: to})
}

// Leave begins this front's shutdown: it releases its leases, reports that it leaves, and takes no new leases.
func (n *Node) Leave(now time.Duration) {
	n.leaving = true
	for _, leaseName := range slices.Sorted(maps.Keys(n.ownLeases)) {
		n.releaseLease(now, leaseName, "", reasonShutdown)
	}
	n.reportMembership(now)
	if n.voter != nil {
		n.voter.transferLeadership()
		n.voter.process(now)
	}
}

// HasLeft reports whether all leases, and the leadership, are transferred.
func (n *Node) HasLeft() bool {
	return len(n.ownLeases) == 0 && (n.voter == nil || !n.voter.isLeader())
}

// LeaseKind is the part of a lease's name before the slash, such as the prefix of ProbeLease.
func LeaseKind(leaseName string) string {
	kind, _, _ := strings.Cut(leaseName, "/")
	return kind
}

// endExpiredLeases stops using leases that expired.
func (n *Node) endExpiredLeases(now time.Duration) {
	expired := func(_ string, own *ownLease) bool { return own.announced && now >= own.expiresAt }
	for _, name := range sortedMatches(n.ownLeases, expired) {
		n.announceEnd(name, n.ownLeases[name], reasonExpired)
	}
}

// announceEnd emits the end of a lease whose acquisition was emitted.
func (n *Node) announceEnd(leaseName string, own *ownLease, reason string) {
	if !own.announced {
		return
	}
	own.announced = false
	n.emit(LeaseEnded{Lease: leaseName, Term: own.term, Until: own.expiresAt, Broadcasts: own.broadcasts, Reason: reason})
}
