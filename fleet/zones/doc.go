// Package zones decides, for a whole fleet, when a failing zone is evacuated, how far, and at what pace its traffic returns. It is a
// core: it has no I/O, clock or goroutine, and its types are not safe for concurrent use. No front uses it yet.
//
// Every front reports what it observed of each zone in a digest (Observer, Report). The holder of the lease "zones" estimates each zone's
// failures from them (Estimator), moves each zone's state (Controller) and plans how much the other zones can take (PlanEvacuation). What
// it decides is in the replicated state, which owns it, with an epoch and a deadline; a front derives its own share from there
// (Decisions). Which server gets a request remains the router's choice.
//
// Invariants, asserted by its tests:
//
//  1. No front's report alone moves a zone's state.
//  2. A zone is evacuated only as far as the servers of the others have capacity, and one zone at least is never evacuated.
//  3. The total over all fronts that a recovering zone gets never exceeds its ramp, and the ramp is halved where its servers are overloaded.
//  4. A decision that is not renewed expires, and not at once.
package zones
