package fleet

import "time"

// route is the next hop to a front.
type route struct {
	via string
	at  time.Duration
}

// routingState is the next hops to fronts behind this one.
type routingState struct {
	routes map[string]route
}

func newRoutingState() routingState {
	return routingState{routes: map[string]route{}}
}

// learnRoute records the next hop to a front.
func (n *Node) learnRoute(now time.Duration, name, via string) {
	if _, ok := n.routes[name]; via != "" && (ok || len(n.routes) < maxKnownFronts) {
		n.routes[name] = route{via, now}
	}
}

// toLeader sends a message a hop towards the leader.
func (n *Node) toLeader(now time.Duration, m *Message) {
	switch {
	case n.leader != nil:
		n.leader.onRequest(now, m)
	case n.upstream != "":
		c := *m
		n.send(n.upstream, &c)
	}
}

// toFront sends a reply of the leader a hop towards its front. The leader's own replies carry the term that it leads in.
func (n *Node) toFront(now time.Duration, m *Message) {
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

// SendDatagram sends data to a subsystem of another front, along the tree of heartbeats. It is unreliable: a sender that needs an
// answer must retry.
func (n *Node) SendDatagram(now time.Duration, to, subsystem string, data []byte) {
	n.routeDatagram("", &Message{Kind: KindDatagram, From: n.options.Name, Name: to, Reason: subsystem, Data: data})
}

// routeDatagram sends a datagram a hop towards its receiver, but not back.
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
