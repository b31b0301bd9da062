package fleet

import "time"

// Mirror is a data set that each front builds from the broadcasts of a lease. A front that missed some of the broadcasts is brought up
// to date by its neighbours. The Node calls the methods and passes news of this front's mirror to its owner, in a BroadcastReceived event.
type Mirror interface {
	// Position returns the newest known term and the index of the mirror's contents. The index is 0 while the mirror is empty.
	Position() (term, index uint64)
	// Snapshot returns the data of a broadcast that brings any older mirror to this position, nil while this mirror is empty.
	Snapshot() []byte
	// Apply applies the data of a broadcast that was sent in a term of the lease. news is what the owner of this front has to learn from
	// it, as the data of an event; nil for nothing. behind reports that broadcasts before this one are missing, so that it was not
	// applied; the Node then requests the sender's mirror.
	Apply(term uint64, data []byte) (news []byte, behind bool)
}

// fence is a term and the number of the newest broadcast or heartbeat in it. Older broadcasts and heartbeats are rejected.
type fence struct{ term, number uint64 }

// mirrorState holds the newest broadcast that a Node knows under each lease, and the mirrors that it builds from broadcasts. The maps
// are by lease.
type mirrorState struct {
	fences  map[string]fence
	mirrors map[string]Mirror
}

func newMirrorState() mirrorState {
	return mirrorState{fences: map[string]fence{}, mirrors: map[string]Mirror{}}
}

// SetMirror registers the mirror that this front builds from the broadcasts of a lease. It replaces an earlier one. From then on, the
// events of these broadcasts have only what was new to the mirror.
func (n *Node) SetMirror(leaseName string, m Mirror) { n.mirrors[leaseName] = m }

// Broadcast sends data to all fronts, including this one, under a lease that this front holds. Delivery is not confirmed: true says only
// that the data was sent. It returns false and sends nothing where this front does not hold the lease.
func (n *Node) Broadcast(now time.Duration, leaseName string, data []byte) bool {
	term, ok := n.HoldsLease(now, leaseName)
	if !ok {
		return false
	}
	own := n.ownLeases[leaseName]
	own.broadcasts++
	m := &Message{Kind: KindBroadcast, From: n.options.Name, Name: leaseName, Term: term, Number: own.broadcasts, Data: data}
	n.acceptBroadcast(m)
	n.flood(m, "")
	if mirror := n.mirrors[leaseName]; mirror != nil {
		if data, _ = mirror.Apply(term, data); data == nil {
			return true
		}
	}
	n.emit(BroadcastReceived{Lease: leaseName, Term: term, From: n.options.Name, Number: own.broadcasts, Data: data})
	return true
}

// acceptBroadcast reports whether a broadcast is new, and records its term and number. It rejects a broadcast of an older term than
// the newest known term of the lease. A neighbour's complete mirror always counts as new unless its term is older.
func (n *Node) acceptBroadcast(m *Message) (fresh bool) {
	f := n.fences[m.Name]
	switch {
	case m.Term < f.term:
		n.emit(BroadcastRejected{Lease: m.Name, Term: m.Term, From: m.From, Reason: reasonStaleBroadcast})
		return false
	case m.Number == 0: // a neighbour's complete mirror
		if m.Term > f.term {
			n.fences[m.Name] = fence{term: m.Term}
		}
		return true
	case m.Term == f.term && m.Number <= f.number:
		return false // a duplicate that took another path
	}
	n.fences[m.Name] = fence{m.Term, m.Number}
	return true
}

// onBroadcast handles a broadcast from a peer. It floods a broadcast that is new, and applies it to the mirror of its lease.
func (n *Node) onBroadcast(from string, m *Message) {
	if len(n.fences) >= maxKnownFronts && n.fences[m.Name] == (fence{}) || n.state.Leases[m.Name] == nil && n.mirrors[m.Name] == nil {
		return // the lease is unknown, or the table of fences is full
	}
	if own := n.ownLeases[m.Name]; own != nil && m.Term > own.term {
		n.dropLease(m.Name, reasonLaterTerm)
	}
	if !n.acceptBroadcast(m) {
		return
	}
	if m.Number != 0 {
		c := *m
		n.flood(&c, from)
	}
	mirror := n.mirrors[m.Name]
	if mirror == nil {
		n.emit(BroadcastReceived{Lease: m.Name, Term: m.Term, From: m.From, Number: m.Number, Data: m.Data})
		return
	}
	_, before := mirror.Position()
	news, behind := mirror.Apply(m.Term, m.Data)
	if behind { // the sender has the broadcasts that are missing here
		term, index := mirror.Position()
		n.send(from, &Message{Kind: KindMirrorPositions, From: n.options.Name, Positions: []Position{{Name: m.Name, Term: term, Index: index}}})
	}
	if news != nil {
		n.emit(BroadcastReceived{Lease: m.Name, Term: m.Term, From: m.From, Number: m.Number, Data: news})
		if _, index := mirror.Position(); m.Number == 0 && index > before { // other neighbours may have missed it as well
			c := *m
			n.flood(&c, from)
		}
	}
}

// sendMirror sends this front's mirror of a lease to a peer whose mirror is older. position is that of the peer's mirror.
func (n *Node) sendMirror(to string, position Position) {
	m := n.mirrors[position.Name]
	if m == nil {
		return
	}
	term, index := m.Position()
	if index <= position.Index {
		return
	}
	if data := m.Snapshot(); data != nil {
		n.send(to, &Message{Kind: KindBroadcast, From: n.options.Name, Name: position.Name, Term: term, Data: data})
	}
}
