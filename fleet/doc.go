// Package fleet lets the fronts of one fleet know each other, agree on a replicated state, and share out work by leases.
//
// It is a core without I/O, clock or goroutine. Its owner passes a Node the peers' messages and the time of the front's own clock,
// and carries out what the Node asks for: messages to send (Outgoing), disk writes (PendingWrite), links to open (WantedLinks)
// and to close (LinksToClose), and events (Events). Package fleet/mesh does this over TCP, fleet/disk stores a voter's log, and
// lab/fleetsim runs many nodes in virtual time.
//
// # How it works
//
// A few fronts are voters. They keep a log by raft consensus; applied in order, its commands make the ReplicatedState: the
// voters, the fronts, the leases, and values that leaseholders store. The other fronts are followers, which receive the log from
// their neighbours. Each front keeps a few links only, so a fleet of hundreds is a sparse graph.
//
// The leader is the voter that leads the consensus group. It floods heartbeats; the peer that delivers a heartbeat first is a
// front's next hop to the leader, which makes the links a tree. Up that tree go membership records (I am alive, these leases I
// renew, this is my state) and requests; replies and renewals come down it.
//
// A lease is a named job that at most one front does at a time, such as following the discovery service. The leader grants it
// through the log, in a new term each time. Renewals don't touch the log: the leader confirms them once a majority has confirmed
// that it still leads. The holder counts a lease from when it sent the request for renewal, less a margin; the leader counts from
// when it received the request, plus a margin. So the holder stops before the leader grants the lease to another front.
//
// A leaseholder's broadcasts are flooded to all fronts and add up to a Mirror at each. A configuration lease lets a front use a
// published configuration version without contact to the fleet for a limited time.
//
// # Invariants
//
// They are asserted at each step of the tests in virtual time.
//
//  1. At most one front holds a lease at any moment of true time, whatever is paused, partitioned, crashed or lost, as long as clock
//     rates differ by a tenth at most and no voter's disk is replaced by an old copy unnoticed.
//  2. The term of a lease rises by one with each grant, and by more when the voters are recovered; a front accepts no broadcast of
//     an older term than it knows of.
//  3. Two replicated states of one index have the same bytes.
//  4. A voter sends only what its disk holds; a voter whose disk is an old copy does not take part, and one whose disk
//     is empty vouches for no other.
//  5. What a peer sends is bounded before it is stored: by peer, by front and by message.
//
// # What it must not do
//
// It carries no client's requests, and nothing waits for it: a front that reaches no other serves on alone. It decides nothing about
// routing. Messages and the log are read by other versions of the program: their encoding changes only as lenient_decode.go and
// Format allow.
//
// # Where to find what
//
//   - node.go: the Node, its calls in and out
//   - links.go, routing.go, heartbeat.go: the graph of links, next hops, the tree to the leader
//   - membership.go, requests.go: what goes up the tree and comes down it
//   - leases.go, config_leases.go, broadcasts.go: a front's leases, and its broadcasts under them
//   - replication.go, snapshot_chunks.go, replicated_state.go, command.go: the replicated state and how it spreads
//   - voter.go, voter_election.go, voter_confirmation.go, voter_disk.go: consensus
//   - voter_admission.go, disk_floor.go, voter_recovery.go: which disks count, and what to do where too many are lost
//   - leader.go, leader_*.go: what the leader does
//   - message.go, lenient_decode.go: what passes on a link
//   - event.go, history.go, reasons.go, errors.go: what is reported, and the texts that other programs read
//   - endpoint_list.go, probe_cache.go: two kinds of broadcasts, the endpoint list and the results of probes
//   - config.go, options.go, timing.go: what an operator sets, and what follows from it
package fleet
