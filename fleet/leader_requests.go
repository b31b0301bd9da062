package fleet

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// transfer is an operator's request to transfer a lease. It is done once the lease is in a later term than term. The leader keeps it until
// the next request to transfer the lease, since the requester repeats its request until it receives the answer.
type transfer struct {
	requester string
	requestID uint64
	term      uint64
	done      bool
}

// isRequest reports whether the transfer was requested by the request of the given front and ID.
func (t transfer) isRequest(requester string, id uint64) bool {
	return t.requester == requester && t.requestID == id
}

// onRequest handles a front's request. Until the leader is ready it drops requests.
func (l *leader) onRequest(now time.Duration, m *Message) {
	if !l.ready {
		return // the requester sends the request again
	}
	switch m.Request.Type {
	case RequestProposal:
		l.onProposal(now, m.From, m.Request)
	case RequestRelease:
		l.onRelease(now, m.From, m.Request)
	case RequestDigests:
		l.reply(now, m.From, &LeaderReply{RequestID: m.Request.ID, Reports: l.memberReports(now, m.Request.Lease)})
	case RequestTransfer:
		l.onTransfer(now, m.From, m.Request)
	}
}

// answer replies to a request with its error. err is nil where the request succeeded.
func (l *leader) answer(now time.Duration, requester string, q *Request, err error) {
	l.reply(now, requester, &LeaderReply{RequestID: q.ID, Error: errorText(err)})
}

// onProposal proposes the command of a request. The leader replies only where it rejects the command or there is nothing to do.
// Otherwise the requester learns the result when it applies the command to its own copy of the replicated state.
func (l *leader) onProposal(now time.Duration, requester string, q *Request) {
	if !l.proposals.admit(requester, q.ID) {
		return // it was proposed already, or the memory has no room and the requester sends the request again
	}
	var c Command
	if err := msgpack.Unmarshal(q.Command, &c); err != nil || c.Requester != requester {
		l.answer(now, requester, q, errUnreadableCommand)
		return
	}
	ok := false
	switch _, isVoter := l.node.state.Voters[c.Target]; {
	case c.Op == opAddVoter && isVoter:
		l.answer(now, requester, q, fmt.Errorf("%s %w", c.Target, errAlreadyVoter))
		return
	case c.Op == opRemoveVoter && !isVoter:
		l.answer(now, requester, q, fmt.Errorf("%s %w", c.Target, errNotAVoter))
		return
	case c.Op == opAddVoter, c.Op == opRemoveVoter:
		ok = l.voter.proposeVoterChange(&c)
	case c.Op == opDeclareLease:
		l.onDeclarations(now, requester, q, &c)
	case c.Op == opPutValue:
		ok = l.voter.propose(&c)
	default:
		l.answer(now, requester, q, errLeaderCommand)
		return
	}
	if ok {
		l.proposals.add(requester, q.ID)
	}
}

// onDeclarations proposes to declare the leases of a request. It omits leases that are declared already or whose declaration is
// proposed. Fronts declare the same leases at the same time, so this keeps the number of log entries at the number of leases, however
// many fronts ask. A front learns the result from its own copy of the replicated state. Where all leases of the request are declared,
// the copy of the requester is behind, and the leader replies.
func (l *leader) onDeclarations(now time.Duration, requester string, q *Request, c *Command) {
	all := append([]Declaration{{Lease: c.Lease, Bound: c.Bound}}, q.Declarations...)
	declared := true
	for _, d := range all {
		if l.node.state.declares(d) {
			continue
		}
		declared = false
		if bound, ok := l.pendingDeclarations[d.Lease]; ok && bound == d.Bound {
			continue
		}
		if l.voter.propose(&Command{Op: opDeclareLease, Lease: d.Lease, Bound: d.Bound}) {
			l.pendingDeclarations[d.Lease] = d.Bound
		}
	}
	if declared {
		l.answer(now, requester, q, nil)
	}
}

// onRelease handles the release of a lease by its holder. It proposes to grant the lease to another front, or to vacate the lease
// where there is no candidate.
func (l *leader) onRelease(now time.Duration, requester string, q *Request) {
	lease, timer := l.node.state.Leases[q.Lease], l.timers[q.Lease]
	if lease == nil || timer == nil || lease.Term != q.Term || lease.Leaseholder != requester || timer.transferring {
		return // the lease was transferred already, or its transfer is proposed
	}
	l.grant(now, lease, timer, grantOptions{preferred: q.To, reason: reasonTransferred})
	c := &Command{Op: opVacateLease, Lease: lease.Name, Term: lease.Term, Reason: reasonReleased}
	l.recordLoss(now, c, timer, false)
	if !timer.transferring && l.voter.propose(c) {
		timer.transferring, timer.transferringAt, timer.transferringTo = true, now, ""
	}
}

// onTransfer handles an operator's request to transfer a lease: it asks the holder to release the lease. The leader answers the
// request once the lease is granted again. A repetition of the request starts no further transfer, and does not fail while the lease is
// released and not yet granted.
func (l *leader) onTransfer(now time.Duration, requester string, q *Request) {
	lease, timer := l.node.state.Leases[q.Lease], l.timers[q.Lease]
	latest := l.transfers[q.Lease]
	isRepeated := latest.isRequest(requester, q.ID)
	switch known := l.members[q.To]; {
	case lease == nil || timer == nil:
		l.answer(now, requester, q, errUnknownLease)
	case isRepeated && latest.done:
		l.answer(now, requester, q, nil)
	case isRepeated && lease.Leaseholder == "":
		return // the grant answers the request
	case lease.Leaseholder == "":
		l.answer(now, requester, q, errNoLeaseholder)
	case q.To == lease.Leaseholder:
		l.answer(now, requester, q, nil)
	case q.To != "" && (known == nil || !l.eligible(now, known)):
		l.answer(now, requester, q, fmt.Errorf("%s %w", q.To, errNotEligible))
	default:
		l.transfers[q.Lease] = transfer{requester: requester, requestID: q.ID, term: lease.Term}
		l.reply(now, lease.Leaseholder, &LeaderReply{Release: lease.Name, Term: lease.Term, TransferTo: q.To})
	}
}

// completeTransfer answers the request to transfer a lease where the lease is in a later term than at the request.
func (l *leader) completeTransfer(now time.Duration, lease *Lease) {
	latest, ok := l.transfers[lease.Name]
	if !ok || latest.done || lease.Term <= latest.term {
		return
	}
	latest.done = true
	l.transfers[lease.Name] = latest
	l.reply(now, latest.requester, &LeaderReply{RequestID: latest.requestID})
}

// memberReports returns a report of each front with its digest of a subsystem, sorted by name. Data is nil where the front has none.
func (l *leader) memberReports(now time.Duration, subsystem string) (all []MemberReport) {
	for _, name := range slices.Sorted(maps.Keys(l.members)) {
		known := l.members[name]
		report := MemberReport{
			Front:            name,
			Incarnation:      known.Incarnation,
			Zone:             known.Zone,
			Age:              now - known.reportedAt,
			ActiveVersion:    known.ActiveVersion,
			WantsConfigLease: known.WantsConfigLease,
			Leaving:          known.Leaving,
			Index:            known.Index,
		}
		for _, d := range known.Digests {
			if d.Subsystem == subsystem {
				report.Data = d.Data
			}
		}
		all = append(all, report)
	}
	return all
}
