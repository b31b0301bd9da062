// Package rollout publishes configuration versions to a fleet of fronts. A rollout proceeds in stages. At each stage the fronts on the
// new version are compared with those on the old one, and the rollout is rolled back if the new version fails more often. At most two
// adjacent versions are in force at a time. The package is a core: it has no I/O, clock or goroutine. Its types are not safe for
// concurrent use; the caller serializes calls with those of the front's fleet.Node.
//
// Every front has an Adopter, which follows the replicated state and decides which version the front should use and until when it may use
// it. The holder of the lease "roll" also has a Controller, which carries out operators' actions, opens stages, evaluates the fronts'
// reports and stores the rollout's state. A Participant runs both beside a node. Everything that must survive a change of leaseholder is
// in the replicated state, and the next leaseholder's Controller continues from that state alone.
//
// Invariants, asserted at each step of the tests in virtual time:
//
//  1. The versions that fronts use under configuration leases are at most two, and adjacent: Base and Next.
//  2. A rollout ends (Next becomes 0), or is rolled back, only when no front uses the other version any more, or when every front that
//     may still use it is named in State.UnconfirmedFronts.
//  3. A front stops using a version that is not allowed any more at the latest when its lease on that version ends.
//  4. A rollout with a deadline fences a front only by the expiry of its configuration leases: the front counts as fenced once they have
//     provably expired (leaseProof). Such a rollout starts only if every front is known to stop serving when its lease expires.
//  5. Each publication has exactly one outcome, which never changes: it is in a version, or it is rejected with a reason.
//  6. A version that merges several publications equals their changes, applied in order to the version before.
//  7. No more than a given share of the fleet, and of each zone, is fenced at once. No front is fenced while the majority is lost.
package rollout
