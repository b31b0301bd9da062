// Package capacity measures the resource usage of a fleet of a given size on one machine, over loopback. A run starts a few processes
// of the built program, many simulated followers in a few worker processes, a fake discovery server and fake databases. A simulated
// follower is a front without clients: the real core, fleet agent and mesh with their sockets.
//
// The package measures CPU time, resident memory, bytes and messages by role. It measures them while the fleet is idle, for each
// change of the endpoint list, for each snapshot of the list that goes to all fronts, and for each change of the configuration. For
// configurations it also measures the time until they are in force. Bytes and messages are the mesh's own counts: they include frames,
// but not TCP headers and acknowledgements.
//
// Run owns every process. Each is a child process, which Run ends by its process ID before it returns. A size that exceeds the
// machine's resources is rejected with a SizeError before any process is started. A process that exits during a run fails the run with
// a ProcessExitError that names the process. Missing measurements are never counted as zero.
//
// The supervisor holds one pipe for each worker process and two times for each front and change. Its memory does not grow with the
// product of fronts and databases. The package is for measurements and tests only.
//
// Alias flags, records and process names use the older terms "hollow" for a simulated follower, "span" for the lease duration and
// "rest" for the idle phase. Committed records contain these terms, so they do not change.
package capacity
