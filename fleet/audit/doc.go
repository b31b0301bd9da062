// Package audit records which front used which configuration version, when, and what the front did meanwhile. It is a core: it has no
// I/O, clock or goroutine. Package fleet/disk owns the files, and package fleet/agent the goroutines that write and collect them.
//
// A Recorder belongs to a front's core. It counts the front's requests in intervals; during an interval the front uses one version of the
// operator's rules and of the endpoint list. A HashChain encodes events as lines, each of which contains a hash that covers the lines
// before it. A Collector fetches the closed segments of all fronts. ReadLogs reads and verifies lines. VersionUses, UsesAt and
// SummarizeVersions answer questions about them.
//
// Invariants:
//
//  1. Each request of a front is counted in one interval: the one in which it was accepted.
//  2. Intervals follow each other without a gap, and a front's lines have consecutive numbers. Where lines were lost, a line says so.
//  3. A line's Hash depends on all lines before it.
//  4. A segment is collected as a whole or not at all, and only once.
//
// The keys and events of lines, the index, and the messages of collection are read by programs of other versions and by operators' tools.
// They must not change.
package audit
