// Package capacity measures what a fleet of a given size costs, on one machine and over loopback: a few processes of the built
// program, many hollow fronts (the real core, fleet agent and mesh with their sockets, without clients) in a few processes of
// their own, a fake discovery server and fake databases.
//
// It counts, for each role, processor time, resident memory, bytes and messages: at rest, for each change of the endpoint list,
// for each whole list sent to all fronts, and for each change of configuration, whose time until it is in force it takes too.
// Bytes and messages are the mesh's own counts: frames without TCP and its acknowledgements.
//
// What the machine cannot bear is refused before a process is started. A process that ends during a run fails the run by its
// name; nothing is counted as zero. Every process is a child and is ended by its id.
//
// Capacity: the supervisor holds one pipe a worker process and two times a front and change; nothing grows with fronts times
// databases. For measurements and tests only.
package capacity
