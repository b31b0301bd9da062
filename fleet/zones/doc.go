// Package zones decides for a whole fleet when a failing zone is evacuated, how far, and at what pace its traffic returns. It is a core:
// it has no I/O, clock or goroutine. Its types are not safe for concurrent use. No front uses the package yet.
//
// Every front reports in a digest what it observed of each zone (Observer, Report). The holder of the lease "zones" estimates each zone's
// failures from the reports (Estimator), changes the states of zones (Controller), and plans how much traffic the other zones can take
// (PlanEvacuation). Its decisions are in the replicated state, each with an epoch and a deadline. From there every front derives its own
// share (Decisions). The router still chooses which server gets a request.
//
// Invariants, asserted by the tests:
//
//  1. The report of one front alone never changes the state of a zone.
//  2. A zone is evacuated only as far as the servers of the other zones have capacity. At least one zone is never evacuated.
//  3. The traffic of all fronts together that a recovering zone gets never exceeds its ramp. The ramp is halved if the zone's servers are
//     overloaded.
//  4. A decision that is not renewed expires gradually.
package zones
