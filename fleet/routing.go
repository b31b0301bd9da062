package fleet

import "time"

// route is a route to a front: the next hop, and when the route was last confirmed.
type route struct {
	via string
	at  time.Duration
}

// routingState holds the next hops to the fronts from which a peer has passed on a membership record, a request or a datagram, by name.
// These are mostly fronts that are further from the leader than this front. Messages to other fronts go towards the leader.
type routingState struct {
	routes map[string]route
}

func newRoutingState() routingState {
	return routingState{routes: map[string]route{}}
}

// learnRoute records that a front is reached by the peer via, and when that was last seen. It ignores a route without a next hop.
func (n *Node) learnRoute(now time.Duration, name, via string) {
	if _, ok := n.routes[name]; via != "" && (ok || len(n.routes) < maxKnownFronts) {
		n.routes[name] = route{via, now}
	}
}

// routeToLeader sends a request to the next hop towards the leader, or handles it where this front is the leader.
func (n *Node) routeToLeader(now time.Duration, m *Message) {
	switch {
	case n.leader != nil:
		n.leader.onRequest(now, m)
	case n.upstream != "":
		c := *m
		n.send(n.upstream, &c)
	}
}

// routeToFront sends a reply to the next hop towards its front, or handles it where it is for this front. It adds the leader's
// term to the replies that the leader itself creates.
func (n *Node) routeToFront(now time.Duration, m *Message) {
	if m.Kind == KindReply && m.From == n.options.Name && n.leader != nil {
		m.Term = n.leader.voter.term
	}
	if m.Name == n.options.Name {
		n.onReply(now, m.Reply, m.Term)
		return
	}
	if route, ok := n.routes[m.Name]; ok {
		c := *m
		n.send(route.via, &c)
	}
}

// SendDatagram sends data to a subsystem of a front, which may be this front, along the tree that the heartbeats form. It arrives as a
// DatagramReceived event. It is unreliable: a sender that needs an answer must retry.
func (n *Node) SendDatagram(now time.Duration, to, subsystem string, data []byte) {
	n.routeDatagram("", &Message{Kind: KindDatagram, From: n.options.Name, Name: to, Reason: subsystem, Data: data})
}

// routeDatagram sends a datagram to the next hop towards its receiver, but not back to the peer from which it came. It emits
// an event where the datagram is for this front.
func (n *Node) routeDatagram(from string, m *Message) {
	if m.Name == n.options.Name {
		n.emit(DatagramReceived{From: m.From, Subsystem: m.Reason, Data: m.Data})
		return
	}
	nextHop := n.upstream
	if route, ok := n.routes[m.Name]; ok {
		nextHop = route.via
	}
	if n.peers[m.Name] != nil {
		nextHop = m.Name
	}
	if nextHop != "" && nextHop != from {
		c := *m
		n.send(nextHop, &c)
	}
}
