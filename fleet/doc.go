// Package fleet implements membership, a replicated state and leases among the fronts of one fleet.
//
// It is a core: a state machine without I/O, clock or goroutine. Its owner passes a Node the messages of its peers and the time
// of the front's own clock. The owner then carries out what the Node asks for: messages to send (Outgoing), disk writes
// (PendingWrite), links to open (WantedLinks) and to close (LinksToClose), and events (Events). Package fleet/mesh does this over
// TCP, fleet/disk stores a voter's log, and lab/fleetsim runs many nodes in virtual time.
//
// # How it works
//
// A few fronts are voters. They replicate a log by Raft consensus. The commands of the log, applied in order, produce the
// ReplicatedState: the voters, the fronts, the leases, and the values that leaseholders store. The other fronts are followers,
// which receive the log from their neighbours. Each front has only a few links, so a fleet of hundreds of fronts is a sparse graph.
//
// The leader is the voter that leads the consensus group. It floods heartbeats. The peer that delivers a heartbeat first is a
// front's next hop to the leader, so the next hops form a tree with the leader at its root. Membership records and requests travel
// up that tree. A membership record says that a front is alive, which leases it renews, and what it reports of itself. Replies
// and renewals travel down the tree.
//
// A lease is a named job that at most one front does at a time, such as following the discovery service. The leader grants it
// through the log, in a new term each time. Renewals don't go through the log: the leader grants them once a majority has
// confirmed that it still leads. The holder counts a lease from the time when it sent the request for renewal, less a margin. The
// leader counts from the time when it received the request, plus a margin. So the holder stops using the lease before the leader
// grants it to another front.
//
// The broadcasts of a leaseholder are flooded to all fronts, and each front builds a Mirror from them. A configuration lease
// lets a front use a published configuration version for a limited time without contact with the fleet.
//
// # Invariants
//
// The tests in virtual time assert these invariants at each step.
//
//  1. At most one front holds a lease at any moment of true time, whatever is paused, partitioned, crashed or lost. This assumes
//     that clock rates differ by at most a tenth, and that no voter's disk is replaced by an old copy without detection.
//  2. The term of a lease rises by one with each grant, and by more when the voters are recovered. A front accepts no broadcast
//     of an older term than the newest term that it knows.
//  3. Two replicated states with the same index have the same bytes.
//  4. A voter sends only what is on its disk. A voter whose disk is an old copy does not take part in consensus. A voter whose
//     disk is empty vouches for no other voter.
//  5. What a peer sends is checked against limits before it is stored: limits for each peer, for each front and for each message.
//
// # What it must not do
//
// It carries no requests of clients, and no request waits for it: a front that reaches no other front continues to serve. It makes
// no routing decisions. Other versions of the program read its messages and its log: their encoding changes only as
// lenient_decode.go and Format allow.
//
// # Where to find what
//
//   - node.go: the Node, with its inputs and outputs
//   - links.go, routing.go, heartbeat.go: the graph of links, the next hops, the tree to the leader
//   - membership.go, requests.go: membership records, requests and replies
//   - leases.go, config_leases.go, broadcasts.go: the leases of a front, and its broadcasts under them
//   - replication.go, snapshot_chunks.go, replicated_state.go, command.go: the replicated state and its distribution to followers
//   - voter.go, voter_election.go, voter_confirmation.go, voter_disk.go: consensus
//   - voter_admission.go, disk_floor.go, voter_recovery.go: detection of lost and outdated disks, and recovery from their loss
//   - leader.go, leader_*.go: the leader
//   - message.go, lenient_decode.go: the messages on a link
//   - event.go, history.go, reasons.go, errors.go: events, and the texts that other programs read
//   - endpoint_list.go, probe_cache.go: two kinds of broadcasts, the endpoint list and the results of probes
//   - config.go, options.go, timing.go: the operator's settings, and the intervals that follow from them
package fleet
