// Package audit records which front used which configuration version, when, and what it did meanwhile. It is a core: it has no I/O,
// clock or goroutine; fleet/disk owns the files, and fleet/agent the goroutines that write and collect them.
//
// A Recorder belongs to a front's core and counts its requests in intervals, in each of which the front used one version of the
// operator's rules and of the endpoint list. A HashChain turns events into lines, each bound to the one before by a hash. Closed
// segments of all fronts are fetched by a Collector. Lines are read back and verified by ReadLogs; VersionUses, UsesAt and
// SummarizeVersions answer questions about them.
//
// Invariants:
//
//  1. Each request of a front is counted in one interval: the one in which it was accepted.
//  2. Intervals follow each other without a gap, and a front's lines without a missing number; where lines were lost, a line says so.
//  3. A line's Hash depends on all lines before it.
//  4. A segment is collected whole or not at all, and once.
//
// The keys and events of lines, the index and the messages of collection are read by programs of other versions and by operators' tools:
// they stay as they are.
package audit
