package fleet

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// transfer is an operator's request to transfer a lease, which was in term.
type transfer struct {
	requester string
	requestID uint64
	term      uint64
}

// onRequest handles a front's request.
func (l *leader) onRequest(now time.Duration, m *Message) {
	if !l.ready {
		return // the requester retries
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

// answer answers a request: with why it cannot be served, or with nil where nothing is left to do.
func (l *leader) answer(now time.Duration, requester string, q *Request, err error) {
	l.reply(now, requester, &LeaderReply{RequestID: q.ID, Error: errorText(err)})
}

// onProposal proposes a command for the log. Its answer follows when the command was applied, from each front's own state.
func (l *leader) onProposal(now time.Duration, requester string, q *Request) {
	if !l.proposals.admit(requester, q.ID) {
		return // applied already or proposed; or too many of it are remembered, and the requester retries
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

// onDeclarations declares the leases of a request that neither the replicated state has nor a declaration on its way. Fronts
// declare the same leases at the same time: the log's entries are as many as leases, however many fronts ask. The answer is
// each front's own state; one that asks for what is declared already has not seen it yet, and is answered.
func (l *leader) onDeclarations(now time.Duration, requester string, q *Request, c *Command) {
	all := append([]Declaration{{Lease: c.Lease, Bound: c.Bound}}, q.Declarations...)
	declared := true
	for _, d := range all {
		if l.node.state.declares(d) {
			continue
		}
		declared = false
		if bound, ok := l.declaring[d.Lease]; ok && bound == d.Bound {
			continue
		}
		if l.voter.propose(&Command{Op: opDeclareLease, Lease: d.Lease, Bound: d.Bound}) {
			l.declaring[d.Lease] = d.Bound
		}
	}
	if declared {
		l.answer(now, requester, q, nil)
	}
}

// onRelease grants a lease that its holder released to another front, or records that nobody holds it.
func (l *leader) onRelease(now time.Duration, requester string, q *Request) {
	lease, timer := l.node.state.Leases[q.Lease], l.timers[q.Lease]
	if lease == nil || timer == nil || lease.Term != q.Term || lease.Leaseholder != requester || timer.transferring {
		return // transferred already, or proposed
	}
	l.grant(now, lease, timer, grantOptions{preferred: q.To, reason: reasonTransferred})
	c := &Command{Op: opVacateLease, Lease: lease.Name, Term: lease.Term, Reason: reasonReleased}
	l.recordLoss(now, c, timer, false)
	if !timer.transferring && l.voter.propose(c) {
		timer.transferring, timer.transferringAt, timer.transferringTo = true, now, ""
	}
}

// onTransfer asks a leaseholder to release a lease, for an operator. The request is answered once another front holds it.
func (l *leader) onTransfer(now time.Duration, requester string, q *Request) {
	lease, timer := l.node.state.Leases[q.Lease], l.timers[q.Lease]
	switch known := l.members[q.To]; {
	case lease == nil || timer == nil:
		l.answer(now, requester, q, errUnknownLease)
	case lease.Leaseholder == "":
		l.answer(now, requester, q, errNoLeaseholder)
	case q.To == lease.Leaseholder:
		l.answer(now, requester, q, nil)
	case q.To != "" && (known == nil || !l.eligible(now, known)):
		l.answer(now, requester, q, fmt.Errorf("%s %w", q.To, errNotEligible))
	default:
		l.transfers[q.Lease] = transfer{requester, q.ID, lease.Term}
		l.reply(now, lease.Leaseholder, &LeaderReply{Release: lease.Name, Term: lease.Term, TransferTo: q.To})
	}
}

// memberReports returns all fronts' digests of a part.
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
