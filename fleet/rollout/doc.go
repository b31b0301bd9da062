// Package rollout publishes configuration versions to a fleet: in stages, each compared with the fronts that still use the old version,
// with at most two adjacent versions in force, and rolled back where the new one fails more often. It is a core: it has no I/O, clock or
// goroutine, and its types are not safe for concurrent use; the caller serializes calls with those of the front's fleet.Node.
//
// Every front has an Adopter, which follows the replicated state: it decides which version the front should use, and until when it
// may. The holder of the lease "roll" has a Controller, which takes operators' actions, opens stages, evaluates the fronts' reports,
// and stores the rollout's state. A Participant runs both beside a node. The replicated state owns all that must survive a
// leaseholder: the next leaseholder's Controller continues from it alone.
//
// Invariants, asserted at each step of the tests in virtual time:
//
//  1. The versions that fronts use, each under a configuration lease, are at most two, and adjacent: Base and Next.
//  2. A rollout ends (Base, and Next 0) or is rolled back only when no front uses the other version, or each that may is named.
//  3. A front uses no version that is not allowed beyond the end of its lease on it.
//  4. A rollout with a deadline fences fronts by the end of their configuration leases alone: a front counts as fenced once those have
//     provably expired (leaseProof), and is published to only where it is known to stop then.
//  5. Each publication has exactly one outcome, which never changes: in a version, or rejected with its reason.
//  6. A version of several publications equals their changes applied in order to the version before.
//  7. Of one fleet or zone no more than a given share is fenced at once; none is where the majority was lost.
package rollout
