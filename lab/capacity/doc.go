// Package capacity measures what a fleet of a given size costs, on one machine and over loopback: a few processes of the built
// program, many simulated followers in a few worker processes, a fake discovery server and fake databases. A simulated follower
// is a front without clients: the real core, fleet agent and mesh with their sockets.
//
// It measures processor time, resident memory, bytes and messages by role: while the fleet is idle, for each change of the
// endpoint list, for each snapshot of it that goes to all fronts, and for each change of configuration, with the time until it
// is in force. Bytes and messages are the mesh's own counts: frames without TCP and its acknowledgements.
//
// Run owns every process: each is a child and is ended by its id before Run returns. A size that the machine cannot bear is
// rejected with a SizeError before a process is started. A process that ends during a run fails the run with a ProcessExitError
// that names it; what is missing is never counted as zero.
//
// The supervisor holds one pipe for each worker process and two times for each front and change; nothing grows with fronts times
// databases. The package is for measurements and tests only.
//
// Flags, records and process names say "hollow" for a simulated follower, "span" for the lease duration and "rest" for the idle
// phase: committed records use these words, so they stay.
package capacity
