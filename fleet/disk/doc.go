// Package disk is a front's files in a fleet: a voter's state (VoterFile) and the audit log (Segments to write it, AuditLogs to read
// many). It decides nothing.
//
// A VoterFile is one bbolt file, owned by one process at a time: what Save returned nil for is there after any crash, and a file that
// is damaged, of another voter or in use is an error, never an empty voter. A Segments owns the open segment of one front; a closed
// segment never changes. Files that appear under their final name (exports, collected segments, the version file) are complete.
package disk
