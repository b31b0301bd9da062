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
	"dapplerouter/monotonic"
	"dapplerouter/pgwire"
)

// gatewayCall is one site's instance of a gateway between two: a front with a link to its peer.
type gatewayCall struct {
	File string `required:"" env:"DAPPLEROUTER_FILE" type:"path" placeholder:"FILE" help:"The operator's own file, with its gateway form."`
}

func (g *gatewayCall) run() int { return (&serveCall{File: g.File}).serve(true) }

// bridge is a link in use.
type bridge struct {
	link  *link.Link
	links *link.Dispatcher
	peer  string
}

// bridgeOf makes the link that a gateway form tells of, nil for none, and gives the site the peer's zone.
func bridgeOf(c *gateway.Config, told *deployment.Instance, clock *monotonic.Clock, post func(front.Event), local front.Pools,
	parse func([]byte) (pgwire.Statement, error)) (*bridge, error) {
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
	return &bridge{l, &link.Dispatcher{Local: local, Remote: l}, c.PeerSite}, nil
}

// Name, Start and the others are those of a part.
func (b *bridge) Name() string { return "link" }

func (b *bridge) Start() error {
	b.link.Run()
	return nil
}

func (b *bridge) Totals() []any {
	n, state, ours, theirs := b.link.Counters()
	return []any{"peer", b.peer, "state", state, "ours", ours, "theirs", theirs, "crossed", n.Forwarded, "answered", n.Answered,
		"doubts", n.OutcomeUnknown, "recovered", n.Recovered, "proven_never", n.ProvenNotExecuted, "lost_for_good", n.OutcomeLost,
		"refused", n.Rejected, "late", n.LateResults, "repeated", n.Duplicates}
}

func (b *bridge) DiscoveryMoved(string) {}
func (b *bridge) Drain(time.Duration)   {}
func (b *bridge) Close()                { b.link.Close() }
