package fleet

import (
	"cmp"
	"hash/crc32"
	"maps"
	"slices"
	"time"
)

// DialTarget is a link that this front should open.
type DialTarget struct{ Name, Address string }

// peer is a front that this one is linked to.
type peer struct {
	Handshake
	heardAt, sentAt time.Duration
	index           uint64 // of the replicated state that it is known to have
}

// Reasons of a rejection. Peers act on them: they are part of the protocol.
const (
	reasonDisplaced     = "another front has its name"
	reasonDuplicateLink = "there is a link already"
	reasonFull          = "it has as many followers as it takes"
)

// linkState is what a Node knows of its links, and of fronts that it could link to.
type linkState struct {
	peers        map[string]*peer
	retryAt      map[string]time.Duration // by front: not dialled before
	failures     map[string]int
	suggested    map[string]string // by name: addresses that a full front suggested
	rankSalt     uint32
	rankSaltedAt time.Duration
	searchedAt   time.Duration // when WantedLinks last looked for other fronts
}

func newLinkState() linkState {
	return linkState{
		peers:     map[string]*peer{},
		retryAt:   map[string]time.Duration{},
		failures:  map[string]int{},
		suggested: map[string]string{},
	}
}

// Peers returns the names of the fronts that this one is linked to.
func (n *Node) Peers() []string { return slices.Sorted(maps.Keys(n.peers)) }

// Hello is the first message on a new link to a peer; to is "" where its name is not known yet.
func (n *Node) Hello(to string, dialled bool) *Message {
	g := &Handshake{
		Fleet:       n.options.Fleet,
		Name:        n.options.Name,
		Incarnation: n.options.Incarnation,
		Zone:        n.options.Zone,
		Address:     n.options.Address,
		Format:      Format,
		Voter:       n.isActiveVoter(),
		Dialled:     dialled,
	}
	if n.isActiveVoter() {
		g.Floor, g.KnownFloor = n.voter.floor, n.voter.peerFloors[to]
	}
	return &Message{Kind: KindHello, From: n.options.Name, Index: n.state.Index, Hello: g}
}

// CheckHello checks a peer's first message; the error is the reason to reject the link. An accepted link takes the place of an
// existing one to the same peer.
func (n *Node) CheckHello(now time.Duration, m *Message) (err error) {
	if err := m.check(); err != nil {
		return err
	}
	g := m.Hello
	if m.Kind != KindHello || g == nil {
		return ProtocolError("the first message is no hello")
	}
	old := n.peers[g.Name]
	front := n.state.Fronts[g.Name]
	switch {
	case g.Fleet != n.options.Fleet:
		return ProtocolError("it is of another fleet")
	case g.Name == n.options.Name:
		return ProtocolError("it has this front's own name")
	case n.isDisplaced:
		return ProtocolError("this front stays out: another has its name")
	case front != nil && front.isPast(g.Incarnation):
		return ProtocolError(reasonDisplaced)
	case old != nil && n.keepsLink(now, old, g):
		return ProtocolError(reasonDuplicateLink) // both dialled: the link of the lesser name stays
	}
	if old == nil && g.Dialled && !g.Voter && !n.isVoter(g.Name) {
		in := 0
		for _, p := range n.peers {
			if p.Dialled && !p.Voter {
				in++
			}
		}
		if in >= n.options.MaxFollowers {
			return ProtocolError(reasonFull)
		}
	}
	return nil
}

// keepsLink reports whether a live link to a peer takes precedence over a new one.
func (n *Node) keepsLink(now time.Duration, old *peer, g *Handshake) bool {
	alive := old.Incarnation == g.Incarnation && now-old.heardAt < n.options.Timing.LinkTimeout()
	bothDialled := old.Dialled != g.Dialled
	newIsOfLesserName := g.Dialled == (g.Name < n.options.Name)
	return alive && bothDialled && !newIsOfLesserName
}

// Rejection is the message to a peer that CheckHello rejected. Where this front is full it suggests those that it is linked to.
func (n *Node) Rejection(why error) *Message {
	m := &Message{Kind: KindReject, Reason: why.Error()}
	if why == ProtocolError(reasonFull) {
		for _, name := range slices.Sorted(maps.Keys(n.peers)) {
			if p := n.peers[name]; !p.Voter && p.Address != "" && len(m.Members) < 2*defaultMaxFollowers {
				m.Members = append(m.Members, MembershipRecord{Name: name, Address: p.Address})
			}
		}
	}
	return m
}

// LinkUp adds a link to a peer that passed CheckHello; it takes the place of an existing one.
func (n *Node) LinkUp(now time.Duration, m *Message) {
	g := m.Hello
	n.peers[g.Name] = &peer{Handshake: *g, heardAt: now, sentAt: now, index: m.Index}
	delete(n.retryAt, g.Name)
	delete(n.failures, g.Name)
	switch {
	case !n.isActiveVoter():
	case g.Voter:
		n.voter.checkHello(now, g.Name, g)
		n.voter.onLinkChange(g.Name)
	default:
		n.voter.checkOther(g.Name, m.Index)
	}
	seen := []Position{}
	for _, d := range slices.Sorted(maps.Keys(n.mirrors)) {
		term, index := n.mirrors[d].Position()
		seen = append(seen, Position{Name: d, Term: term, Index: index})
	}
	if len(seen) > 0 {
		n.send(g.Name, &Message{Kind: KindMirrorPositions, From: n.options.Name, Positions: seen})
	}
	n.catchUp(g.Name)
	if n.upstream == "" {
		n.upstream = g.Name
	}
}

// LinkDown removes the link to a peer.
func (n *Node) LinkDown(now time.Duration, name string) {
	delete(n.peers, name)
	delete(n.outgoingSnapshots, name)
	delete(n.incomingSnapshots, name)
	if n.voter != nil {
		n.voter.onLinkChange(name)
	}
	if n.upstream == name {
		n.upstream = ""
		for _, k := range slices.Sorted(maps.Keys(n.peers)) {
			if n.upstream == "" || n.peers[k].Voter && !n.peers[n.upstream].Voter {
				n.upstream = k
			}
		}
	}
}

// DialFailed handles a wanted link that was not established. why is the peer's reason, "" where there was no answer; instead are
// fronts that it suggested.
func (n *Node) DialFailed(now time.Duration, name, why string, instead []MembershipRecord) {
	for _, report := range instead {
		if len(n.suggested) < maxMembers && report.Name != n.options.Name && report.Address != "" {
			n.suggested[report.Name] = report.Address
		}
	}
	switch why {
	case reasonDisplaced:
		n.markDisplaced("another front of the fleet has this name")
		return
	case reasonDuplicateLink:
		return
	}
	n.failures[name] = min(n.failures[name]+1, 6)
	wait := n.options.Timing.HeartbeatInterval() << n.failures[name]
	if n.voter != nil && n.isVoter(name) {
		wait = n.options.Timing.electionTimeout() // voters depend on each other
	} else if why == reasonFull {
		wait = 10 * n.options.Timing.LeaseDuration
	}
	n.retryAt[name] = now + wait
}

// markDisplaced takes this front out of the fleet for good: another process has its name.
func (n *Node) markDisplaced(why string) {
	if n.isDisplaced {
		return
	}
	n.isDisplaced = true
	n.emit(FrontDisplaced{Name: n.options.Name, Reason: why})
	for _, d := range slices.Sorted(maps.Keys(n.heldLeases)) {
		n.dropLease(d, "another front has this one's name")
	}
	if n.voter != nil {
		n.voter.halt("another front has this keeper's name")
	}
	n.closing = append(n.closing, n.Peers()...)
}

// isVoter reports whether a front is a voter, as far as this one knows.
func (n *Node) isVoter(name string) bool {
	if _, ok := n.state.Voters[name]; ok {
		return true
	}
	return n.state.Index == 0 && slices.ContainsFunc(n.options.InitialVoters, func(k Voter) bool { return k.Name == name })
}

// knownVoters are the voters of the replicated state, or the initial voters while it is empty.
func (n *Node) knownVoters() []Voter {
	if len(n.state.Voters) == 0 {
		return n.options.InitialVoters
	}
	var all []Voter
	for _, name := range slices.Sorted(maps.Keys(n.state.Voters)) {
		all = append(all, Voter{name, n.state.Voters[name]})
	}
	return all
}

// WantedLinks returns the links that this front should dial: a voter wants all other voters, any other front one voter and two
// fronts, each by its own ranking of them.
func (n *Node) WantedLinks(now time.Duration) (dials []DialTarget) {
	if n.isDisplaced {
		return nil
	}
	if n.isActiveVoter() {
		return n.wantedByVoter(now)
	}
	return n.wantedByFollower(now)
}

// wantedByVoter returns the voters that this voter is not linked to.
func (n *Node) wantedByVoter(now time.Duration) (dials []DialTarget) {
	for _, v := range n.knownVoters() {
		if v.Name != n.options.Name && n.peers[v.Name] == nil && now >= n.retryAt[v.Name] {
			dials = append(dials, DialTarget(v))
		}
	}
	return dials
}

// wantedByFollower returns the links that bring a follower to followerLinks of its own, one of them to a voter. With enough links
// but none to a voter it tries one now and then.
func (n *Node) wantedByFollower(now time.Duration) []DialTarget {
	own, hasVoter := 0, false
	for name, p := range n.peers {
		if !p.Dialled { // by this front
			own++
			hasVoter = hasVoter || n.isVoter(name)
		}
	}
	if own >= followerLinks && (hasVoter || now < n.searchedAt+n.options.Timing.LeaseDuration) {
		return nil
	}
	n.searchedAt = now
	var voters []DialTarget
	for _, v := range n.knownVoters() {
		if v.Name != n.options.Name {
			voters = append(voters, DialTarget(v))
		}
	}
	dials, missing := n.pickLinks(now, voters, 1)
	more, _ := n.pickLinks(now, n.knownFollowers(), followerLinks-1+missing)
	return append(dials, more...)
}

// knownFollowers returns the fronts other than voters that this one could link to, in no order.
func (n *Node) knownFollowers() (fronts []DialTarget) {
	for name, front := range n.state.Fronts {
		if name != n.options.Name && !n.isVoter(name) && front.Address != "" {
			fronts = append(fronts, DialTarget{name, front.Address})
		}
	}
	for name, address := range n.suggested {
		if n.state.Fronts[name] == nil && !n.isVoter(name) {
			fronts = append(fronts, DialTarget{name, address})
		}
	}
	return fronts
}

// pickLinks picks as many candidates as are wanted, by this front's ranking of them. Those that it has dialled already count;
// missing is how many it did not find.
func (n *Node) pickLinks(now time.Duration, candidates []DialTarget, wanted int) (dials []DialTarget, missing int) {
	ranks := make(map[string]uint32, len(candidates))
	for _, d := range candidates {
		ranks[d.Name] = n.rank(d.Name)
	}
	slices.SortFunc(candidates, func(a, b DialTarget) int { return cmp.Compare(ranks[b.Name], ranks[a.Name]) })
	for _, d := range candidates {
		if wanted == 0 {
			break
		}
		if p := n.peers[d.Name]; p != nil {
			if !p.Dialled {
				wanted--
			}
			continue
		}
		if now >= n.retryAt[d.Name] {
			dials = append(dials, d)
			wanted--
		}
	}
	return dials, wanted
}

// rank orders the others by a hash of both names, another order with each salt.
func (n *Node) rank(name string) uint32 {
	return crc32.ChecksumIEEE([]byte(n.options.Name + "/" + name + "/" + string(rune('a'+n.rankSalt%26))))
}

// checkLinks drops links that have been silent for too long, and keeps idle ones alive.
func (n *Node) checkLinks(now time.Duration) {
	timing := n.options.Timing
	for _, name := range slices.Sorted(maps.Keys(n.peers)) {
		p := n.peers[name]
		if now-p.heardAt > timing.LinkTimeout() {
			n.closing = append(n.closing, name)
			n.emit(LinkClosed{Peer: name, Reason: "it was silent"})
			p.heardAt = now
			n.retryAt[name] = now + timing.HeartbeatInterval()
			continue
		}
		if n.pingDue(now, p) {
			m := &Message{Kind: KindPing, Index: n.state.Index}
			if n.voter != nil && p.Voter {
				m.Hello = &Handshake{Floor: n.voter.floor, Name: n.options.Name, KnownFloor: n.voter.exclusion(name)}
			}
			n.send(name, m)
		}
	}
}

// pingDue reports whether a peer should be sent a ping: after a heartbeat interval without a message, and between voters once in
// each heartbeat interval, which tells them each other's Floor.
func (n *Node) pingDue(now time.Duration, p *peer) bool {
	tick, interval := n.options.Timing.TickInterval(), n.options.Timing.HeartbeatInterval()
	if now-p.sentAt >= interval {
		return true
	}
	return n.voter != nil && p.Voter && now-p.sentAt >= tick && now/interval != (now-tick)/interval
}
