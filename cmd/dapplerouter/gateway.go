package main

import (
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"slices"
	"time"

	"dapplerouter/deployment"
	"dapplerouter/framing"
	"dapplerouter/front"
	"dapplerouter/gateway"
	"dapplerouter/gateway/link"
	"dapplerouter/pgwire"
	"dapplerouter/sockets"
)

// gatewayCommand is one site's instance of a gateway between two: a front with a link to its peer.
type gatewayCommand struct {
	File string `required:"" env:"DAPPLEROUTER_FILE" type:"path" placeholder:"FILE" help:"The operator's own file, with its gateway form."`
}

func (g *gatewayCommand) run() int { return (&serveCommand{File: g.File}).serve(true) }

// gatewayLink is a link in use.
type gatewayLink struct {
	link       *link.Link
	dispatcher *link.Dispatcher
	peer       string
}

// newGatewayLink makes the link that a gateway form tells of, nil for none, and gives the site the peer's zone.
func newGatewayLink(c *gateway.Config, told *deployment.Instance, clock *sockets.Clock, post func(front.Event), local front.Pools,
	parse func([]byte) (pgwire.Statement, error)) (*gatewayLink, error) {
	if c == nil {
		return nil, nil
	}
	if !slices.Contains(told.Settings.ZoneNames, c.PeerSite) {
		told.Settings.ZoneNames = append(slices.Clone(told.Settings.ZoneNames), c.PeerSite)
		told.Settings.Topology.ZoneCount++
	}
	o := link.Options{LocalSite: c.LocalSite, PeerSite: c.PeerSite, Address: c.Address, Listen: c.Listen, Settings: c.Settings, Clock: clock,
		Groups: c.Groups, Post: post, ParseStatement: parse}
	var epoch [8]byte
	rand.Read(epoch[:])
	o.Epoch = binary.LittleEndian.Uint64(epoch[:]) | 1
	if c.KeyFile != "" {
		var keys *tls.Config
		var err error
		if keys, err = (framing.KeyFiles{Key: c.KeyFile, Certificate: c.CertificateFile, Trust: c.TrustFile}).TLSConfig(c.PeerSite); err != nil {
			return nil, err
		}
		o.TLS = keys
	}
	l, err := link.New(o)
	if err != nil {
		return nil, err
	}
	return &gatewayLink{l, &link.Dispatcher{Local: local, Remote: l}, c.PeerSite}, nil
}

// Name, Start and the others are those of a part.
func (b *gatewayLink) Name() string { return "link" }

func (b *gatewayLink) Start() error {
	b.link.Run()
	return nil
}

func (b *gatewayLink) Totals() []any {
	n, state, ours, theirs := b.link.Counters()
	return []any{"peer", b.peer, "state", state, "ours", ours, "theirs", theirs, "crossed", n.Forwarded, "answered", n.Answered,
		"doubts", n.OutcomeUnknown, "recovered", n.Recovered, "proven_never", n.ProvenNotExecuted, "lost_for_good", n.OutcomeLost,
		"refused", n.Rejected, "late", n.LateResults, "repeated", n.Duplicates}
}

func (b *gatewayLink) DiscoveryMoved(string) {}
func (b *gatewayLink) Drain(time.Duration)   {}
func (b *gatewayLink) Close()                { b.link.Close() }
