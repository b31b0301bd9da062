// Package disk stores a front's files in a fleet: the durable state of a voter (VoterFile) and the audit log (Segments writes it,
// AuditLogs reads the logs of many fronts). It makes no decisions for the fleet.
//
// A VoterFile is one bbolt file, which one process at a time has open. What a successful Save wrote survives any crash. A file that is
// damaged, belongs to another voter or is in use is an error; it is never treated as the file of an empty voter. A Segments owns the open
// segment of one front; a closed segment never changes. Files that appear under their final name (exported segments, collected segments,
// the version file) are complete.
package disk
