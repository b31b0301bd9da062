package fleet

import (
	"cmp"
	"errors"
	"hash/crc32"
	"maps"
	"slices"
	"time"
)

// DialTarget is a front to which this front should open a link.
type DialTarget struct{ Name, Address string }

// peer is a front to which this front has a link.
type peer struct {
	Handshake
	lastReceivedAt, lastSentAt time.Duration
	index                      uint64 // the index of the replicated state that the peer is known to have
}

// linkState holds a Node's links and its state of the fronts that it could dial. The maps are by name.
type linkState struct {
	peers        map[string]*peer
	retryAt      map[string]time.Duration // the earliest time to dial a front again
	failures     map[string]int           // the number of successive failures to dial a front, at most 6
	suggested    map[string]string        // addresses of fronts that a front without room for more links suggested
	rankSalt     uint32                   // see rank
	rankSaltedAt time.Duration            // when rankSalt last changed
	searchedAt   time.Duration            // when WantedLinks last looked for other fronts
}

func newLinkState() linkState {
	return linkState{
		peers:     map[string]*peer{},
		retryAt:   map[string]time.Duration{},
		failures:  map[string]int{},
		suggested: map[string]string{},
	}
}

// Peers returns the names of the fronts to which this front has a link, sorted.
func (n *Node) Peers() []string { return slices.Sorted(maps.Keys(n.peers)) }

// Hello returns the first message on a new link to the front to; to is "" where its name is not known yet. dialled says that this
// front dialled the link.
func (n *Node) Hello(to string, dialled bool) *Message {
	hello := &Handshake{
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
		hello.Floor, hello.KnownFloor = n.voter.floor, n.voter.peerFloors[to]
	}
	return &Message{Kind: KindHello, From: n.options.Name, Index: n.state.Index, Hello: hello}
}

// CheckHello checks a peer's first message. The error is the reason to reject the link, nil where the link is accepted. CheckHello changes
// nothing: the owner adds the link by LinkUp, which replaces an existing link to the same peer.
func (n *Node) CheckHello(now time.Duration, m *Message) (err error) {
	if err := m.check(); err != nil {
		return err
	}
	hello := m.Hello
	if m.Kind != KindHello || hello == nil {
		return errNoHello
	}
	existing := n.peers[hello.Name]
	front := n.state.Fronts[hello.Name]
	switch {
	case hello.Fleet != n.options.Fleet:
		return errOtherFleet
	case hello.Name == n.options.Name:
		return errOwnName
	case n.isDisplaced:
		return errSelfDisplaced
	case front != nil && front.isPast(hello.Incarnation):
		return errDisplacedName
	case existing != nil && n.prefersExistingLink(now, existing, hello):
		return errDuplicateLink // both fronts dialled: the link that the front with the lesser name dialled stays
	}
	if existing == nil && hello.Dialled && !hello.Voter && !n.isVoter(hello.Name) {
		inbound := 0
		for _, p := range n.peers {
			if p.Dialled && !p.Voter {
				inbound++
			}
		}
		if inbound >= n.options.MaxFollowers {
			return errTooManyFollowers
		}
	}
	return nil
}

// prefersExistingLink reports whether an existing link to a peer takes precedence over a new link. That holds where both fronts dialled
// at the same time, the existing link is alive, and the new one was not dialled by the front with the lesser name.
func (n *Node) prefersExistingLink(now time.Duration, existing *peer, hello *Handshake) bool {
	alive := existing.Incarnation == hello.Incarnation && now-existing.lastReceivedAt < n.options.Timing.LinkTimeout()
	bothDialled := existing.Dialled != hello.Dialled
	newHasLesserName := hello.Dialled == (hello.Name < n.options.Name)
	return alive && bothDialled && !newHasLesserName
}

// Rejection returns the message to a peer whose link CheckHello rejected with err. Where this front has too many followers, the message
// suggests the followers that it has links to.
func (n *Node) Rejection(err error) *Message {
	m := &Message{Kind: KindReject, Reason: err.Error()}
	if errors.Is(err, errTooManyFollowers) {
		for _, name := range slices.Sorted(maps.Keys(n.peers)) {
			if p := n.peers[name]; !p.Voter && p.Address != "" && len(m.Members) < 2*defaultMaxFollowers {
				m.Members = append(m.Members, MembershipRecord{Name: name, Address: p.Address})
			}
		}
	}
	return m
}

// LinkUp adds the link to a peer whose first message m passed CheckHello. It replaces an existing link to the same peer.
func (n *Node) LinkUp(now time.Duration, m *Message) {
	hello := m.Hello
	n.peers[hello.Name] = &peer{Handshake: *hello, lastReceivedAt: now, lastSentAt: now, index: m.Index}
	delete(n.retryAt, hello.Name)
	delete(n.failures, hello.Name)
	switch {
	case !n.isActiveVoter():
	case hello.Voter:
		n.voter.checkHello(now, hello.Name, hello)
		n.voter.onLinkChange(hello.Name)
	default:
		n.voter.checkNonVoter(hello.Name, m.Index)
	}
	positions := []Position{}
	for _, leaseName := range slices.Sorted(maps.Keys(n.mirrors)) {
		term, index := n.mirrors[leaseName].Position()
		positions = append(positions, Position{Name: leaseName, Term: term, Index: index})
	}
	if len(positions) > 0 {
		n.send(hello.Name, &Message{Kind: KindMirrorPositions, From: n.options.Name, Positions: positions})
	}
	n.catchUp(hello.Name)
	if n.upstream == "" {
		n.upstream = hello.Name
	}
}

// LinkDown removes the link to a peer, after it was closed. Where the peer was the next hop to the leader, another peer becomes the next
// hop, preferably a voter.
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

// DialFailed handles the failure to establish a wanted link: WantedLinks does not name the front again until a wait has passed. reason is
// the text of the peer's rejection, "" where the peer did not answer. Where it says that another process has this front's name, this front
// is displaced. suggestions are fronts that may be dialled instead.
func (n *Node) DialFailed(now time.Duration, name, reason string, suggestions []MembershipRecord) {
	for _, report := range suggestions {
		if len(n.suggested) < maxMembers && report.Name != n.options.Name && report.Address != "" {
			n.suggested[report.Name] = report.Address
		}
	}
	switch ProtocolError(reason) {
	case errDisplacedName:
		n.markDisplaced(reasonNameTaken)
		return
	case errDuplicateLink:
		return
	}
	n.failures[name] = min(n.failures[name]+1, 6)
	wait := n.options.Timing.HeartbeatInterval() << n.failures[name]
	if n.voter != nil && n.isVoter(name) {
		wait = n.options.Timing.electionTimeout() // a voter reconnects to other voters sooner, since consensus needs these links
	} else if ProtocolError(reason) == errTooManyFollowers {
		wait = 10 * n.options.Timing.LeaseDuration
	}
	n.retryAt[name] = now + wait
}

// markDisplaced takes this front out of the fleet until its process ends, because another process has its name.
func (n *Node) markDisplaced(reason string) {
	if n.isDisplaced {
		return
	}
	n.isDisplaced = true
	n.emit(FrontDisplaced{Name: n.options.Name, Reason: reason})
	for _, leaseName := range slices.Sorted(maps.Keys(n.ownLeases)) {
		n.dropLease(leaseName, reasonFrontDisplaced)
	}
	if n.voter != nil {
		n.voter.halt(reasonVoterNameTaken)
	}
	n.linksToClose = append(n.linksToClose, n.Peers()...)
}

// isVoter reports whether a front is a voter, as far as this front knows.
func (n *Node) isVoter(name string) bool {
	if _, ok := n.state.Voters[name]; ok {
		return true
	}
	return n.state.Index == 0 && slices.ContainsFunc(n.options.InitialVoters, func(v Voter) bool { return v.Name == name })
}

// knownVoters returns the voters that the replicated state names, or the initial voters while it names none.
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

// WantedLinks returns the fronts that this front should dial now: those to which it has no link and should have one. A voter has links to
// all other voters. Any other front dials one voter and two followers, which it selects by its own ranking. A front whose dial failed
// recently is left out. The result is empty where this front is displaced.
func (n *Node) WantedLinks(now time.Duration) (dials []DialTarget) {
	if n.isDisplaced {
		return nil
	}
	if n.isActiveVoter() {
		return n.wantedByVoter(now)
	}
	return n.wantedByFollower(now)
}

// wantedByVoter returns the voters that this voter has no link to and may dial now.
func (n *Node) wantedByVoter(now time.Duration) (dials []DialTarget) {
	for _, v := range n.knownVoters() {
		if v.Name != n.options.Name && n.peers[v.Name] == nil && now >= n.retryAt[v.Name] {
			dials = append(dials, DialTarget(v))
		}
	}
	return dials
}

// wantedByFollower returns the fronts that a follower should dial to have followerLinks links that it dialled, one of them to a
// voter. Where it has enough links but none to a voter, it looks for a voter once in each lease duration.
func (n *Node) wantedByFollower(now time.Duration) []DialTarget {
	dialled, hasVoter := 0, false
	for name, p := range n.peers {
		if !p.Dialled { // this front dialled the link
			dialled++
			hasVoter = hasVoter || n.isVoter(name)
		}
	}
	if dialled >= followerLinks && (hasVoter || now < n.searchedAt+n.options.Timing.LeaseDuration) {
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
	others, _ := n.pickLinks(now, n.knownFollowers(), followerLinks-1+missing)
	return append(dials, others...)
}

// knownFollowers returns the followers that this front could dial, in no particular order.
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

// pickLinks selects as many candidates to dial as are wanted, in the order of this front's ranking. It sorts candidates. A candidate
// that this front has dialled already counts towards wanted. missing is the number of candidates that it did not find.
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

// rank returns a front's rank among the candidates to dial, a hash of its name, this front's name and rankSalt. A change of rankSalt
// changes the order of the candidates.
func (n *Node) rank(name string) uint32 {
	return crc32.ChecksumIEEE([]byte(n.options.Name + "/" + name + "/" + string(rune('a'+n.rankSalt%26))))
}

// checkLinks closes the links on which nothing was received within the link timeout, and sends pings on idle links.
func (n *Node) checkLinks(now time.Duration) {
	timing := n.options.Timing
	for _, name := range slices.Sorted(maps.Keys(n.peers)) {
		p := n.peers[name]
		if now-p.lastReceivedAt > timing.LinkTimeout() {
			n.linksToClose = append(n.linksToClose, name)
			n.emit(LinkClosed{Peer: name, Reason: reasonSilentLink})
			p.lastReceivedAt = now
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

// pingDue reports whether a ping to a peer is due: a heartbeat interval after the last message to the peer, and between voters also
// once in each heartbeat interval, so that they report their Floors to each other.
func (n *Node) pingDue(now time.Duration, p *peer) bool {
	tick, interval := n.options.Timing.TickInterval(), n.options.Timing.HeartbeatInterval()
	if now-p.lastSentAt >= interval {
		return true
	}
	return n.voter != nil && p.Voter && now-p.lastSentAt >= tick && now/interval != (now-tick)/interval
}
