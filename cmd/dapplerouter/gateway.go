package main

import (
	"crypto/rand"
	"encoding/binary"
	"slices"
	"time"

	"dapplerouter/deployment"
	"dapplerouter/framing"
	"dapplerouter/front"
	"dapplerouter/gateway"
	"dapplerouter/gateway/link"
	"dapplerouter/monotonic"
	"dapplerouter/pgwire"
)

// gatewayCommand runs one site's instance of a gateway between two sites: a front with a link to the instance of the other site, its peer.
type gatewayCommand struct {
	File string `required:"" env:"DAPPLEROUTER_FILE" type:"path" placeholder:"FILE" help:"The operator's own file, with its gateway form."`
}

// run runs one site's instance of a gateway until it is told to stop.
func (c *gatewayCommand) run() int { return runProcess(c.File, loadGatewayConfig) }

// gatewayLink is the subsystem that keeps a gateway's link to its peer.
type gatewayLink struct {
	link       *link.Link
	dispatcher *link.Dispatcher // sends attempts to the pools of this site or over the link, by group
	peer       string
}

// gatewayLinkOptions holds the parameters of newGatewayLink.
type gatewayLinkOptions struct {
	config   *gateway.Config
	instance *deployment.Instance
	clock    *monotonic.Clock
	post     func(front.Event)
	local    front.Pools                            // of the groups at this site
	parse    func([]byte) (pgwire.Statement, error) // parses the statements of the peer's requests
}

// newGatewayLink creates the link that the gateway form describes, and does not start it. It adds the peer's site to the zones in the
// instance's settings.
func newGatewayLink(o gatewayLinkOptions) (*gatewayLink, error) {
	c := o.config
	if settings := o.instance.Settings; !slices.Contains(settings.ZoneNames, c.PeerSite) {
		settings.ZoneNames = append(slices.Clone(settings.ZoneNames), c.PeerSite)
		settings.Topology.ZoneCount++
	}
	lo := link.Options{LocalSite: c.LocalSite, PeerSite: c.PeerSite, Address: c.Address, Listen: c.Listen, Settings: c.Settings, Clock: o.clock,
		Groups: c.Groups, Post: o.post, ParseStatement: o.parse, Epoch: newEpoch()}
	if c.KeyFile != "" {
		keys, err := (framing.KeyFiles{Key: c.KeyFile, Certificate: c.CertificateFile, Trust: c.TrustFile}).TLSConfig(c.PeerSite)
		if err != nil {
			return nil, err
		}
		lo.TLS = keys
	}
	l, err := link.New(lo)
	if err != nil {
		return nil, err
	}
	return &gatewayLink{l, &link.Dispatcher{Local: o.local, Remote: l}, c.PeerSite}, nil
}

// newEpoch returns a random number that identifies this incarnation of the process. It is never 0.
func newEpoch() uint64 {
	var b [8]byte
	rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// Name returns the name of the subsystem in the log.
func (g *gatewayLink) Name() string { return "link" }

// Start starts the link. From then on it connects, and reconnects after a failure, by itself.
func (g *gatewayLink) Start() error {
	g.link.Run()
	return nil
}

// Totals returns the link's counters as attributes for a log line.
func (g *gatewayLink) Totals() []any {
	n, state, ours, theirs := g.link.Counters()
	return []any{"peer", g.peer, "state", state, "in_flight", ours, "in_flight_of_peer", theirs,
		"forwarded", n.Forwarded, "answered", n.Answered, "outcome_unknown", n.OutcomeUnknown, "recovered", n.Recovered,
		"proven_not_executed", n.ProvenNotExecuted, "outcome_lost", n.OutcomeLost, "rejected", n.Rejected, "late", n.LateResults,
		"duplicates", n.Duplicates, "abandoned", n.Abandoned}
}

// DiscoveryAddressChanged does nothing: the link does not use discovery.
func (g *gatewayLink) DiscoveryAddressChanged(string) {}

// Drain does nothing: the server's drain waits for the peer's requests in flight.
func (g *gatewayLink) Drain(time.Duration) {}

// Close closes the link.
func (g *gatewayLink) Close() { g.link.Close() }
