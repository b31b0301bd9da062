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
	held := n.ownLeases[leaseName]
	if held == nil || held.releasing || now >= held.expiresAt || n.isDisplaced {
		return 0, false
	}
	return held.term, true
}

// LeaseExpiry returns until when this front holds a lease as far as it knows, on its own clock; 0 where it holds none.
func (n *Node) LeaseExpiry(leaseName string) time.Duration {
	if held := n.ownLeases[leaseName]; held != nil {
		return held.expiresAt
	}
	return 0
}

// LeaseConfirmed returns the term of the leader that renewed a lease last, and a time of this front's clock after which that leader
// was confirmed by a majority. The term is 0 where no renewal told it.
func (n *Node) LeaseConfirmed(leaseName string) (leaderTerm uint64, after time.Duration) {
	if held := n.ownLeases[leaseName]; held != nil {
		return held.confirmedTerm, held.confirmedAt
	}
	return 0, 0
}

// ReportProgress records that the leaseholder made progress.
func (n *Node) ReportProgress(leaseName string) {
	if held := n.ownLeases[leaseName]; held != nil {
		held.progress++
	}
}

// onLeaseChanged applies a lease's replicated state to this front.
func (n *Node) onLeaseChanged(now time.Duration, lease *Lease) {
	if f := n.fences[lease.Name]; lease.Term > f.term {
		n.fences[lease.Name] = fence{term: lease.Term}
	}
	held := n.ownLeases[lease.Name]
	ours := lease.Leaseholder == n.options.Name && lease.Incarnation == n.options.Incarnation && !n.isDisplaced
	if held != nil && (!ours || held.term != lease.Term) {
		n.dropLease(lease.Name, reasonGrantedTo+cmp.Or(lease.Leaseholder, "nobody"))
		held = nil
	}
	if !ours || held != nil {
		return
	}
	held = &ownLease{term: lease.Term}
	n.ownLeases[lease.Name] = held
	if n.leaving || n.idle {
		n.releaseLease(now, lease.Name, "", reasonAcceptsNoLeases)
		return
	}
	n.extendLease(now, lease.Name, held, lease.RequestSeq, 0)
	n.reportMembership(now) // the request is old: renew at once
}

// extendLease extends a lease, less the margin, from when this front sent the report that the leader confirmed.
func (n *Node) extendLease(now time.Duration, leaseName string, held *ownLease, seq, leaderTerm uint64) {
	if seq > n.reportSeq || n.reportSeq-seq >= rememberedSendTimes || held.releasing {
		return
	}
	since := n.sentAt[seq%rememberedSendTimes]
	until := since + n.options.Timing.holderLease()
	if until <= held.expiresAt || until <= now {
		return
	}
	held.expiresAt, held.confirmedAt, held.confirmedTerm = until, since, leaderTerm
	if held.announced {
		n.emit(LeaseRenewed{Lease: leaseName, Term: held.term, Until: until, Since: since})
		return
	}
	held.announced = true
	n.emit(LeaseAcquired{Lease: leaseName, Term: held.term, Until: until, Since: since})
}

// dropLease ends a lease that another front holds now.
func (n *Node) dropLease(leaseName, reason string) {
	held := n.ownLeases[leaseName]
	delete(n.ownLeases, leaseName)
	if held != nil {
		n.announceEnd(leaseName, held, reason)
	}
}

// releaseLease stops using a lease first, and tells the leader then.
func (n *Node) releaseLease(now time.Duration, leaseName, to, reason string) {
	held := n.ownLeases[leaseName]
	if held == nil || held.releasing {
		return
	}
	held.releasing = true
	n.announceEnd(leaseName, held, reason)
	n.Request(now, Request{Type: RequestRelease, Lease: leaseName, Term: held.term, To: to})
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

// LeaseKind is the part of a lease's name before the slash: "scout" of "scout/3".
func LeaseKind(leaseName string) string {
	kind, _, _ := strings.Cut(leaseName, "/")
	return kind
}

// endExpiredLeases stops using leases that expired.
func (n *Node) endExpiredLeases(now time.Duration) {
	expired := func(_ string, held *ownLease) bool { return held.announced && now >= held.expiresAt }
	for _, name := range sortedMatches(n.ownLeases, expired) {
		n.announceEnd(name, n.ownLeases[name], reasonExpired)
	}
}

// announceEnd emits the end of a lease whose acquisition was emitted.
func (n *Node) announceEnd(leaseName string, held *ownLease, reason string) {
	if !held.announced {
		return
	}
	held.announced = false
	n.emit(LeaseEnded{Lease: leaseName, Term: held.term, Until: held.expiresAt, Broadcasts: held.broadcasts, Reason: reason})
}
