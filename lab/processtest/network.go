package processtest

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"dapplerouter/testsupport/faultproxy"
)

// link identifies a connection between two fronts by the index of the front that dials and the index of the front that accepts.
type link struct{ from, to int }

// network holds one fault proxy for each ordered pair of fronts.
type network struct {
	proxies map[link]*faultproxy.Proxy
}

// startNetwork starts a proxy for each ordered pair of fronts. If one fails to start, it stops the others.
func startNetwork(fronts []*Front, seed uint64) (network, error) {
	n := network{proxies: map[link]*faultproxy.Proxy{}}
	for i := range fronts {
		for j, to := range fronts {
			if i == j {
				continue
			}
			p, err := faultproxy.New(to.meshAddress, seed+uint64(i*100+j))
			if err != nil {
				n.stop()
				return network{}, fmt.Errorf("fault proxy from %s to %s: %w", fronts[i].Name, to.Name, err)
			}
			n.proxies[link{i, j}] = p
		}
	}
	return n, nil
}

// address returns the proxy address at which one front dials another. Both are given by index.
func (n *network) address(from, to int) string { return n.proxies[link{from, to}].Address() }

// setConditions applies conditions to the traffic from one front to another wherever affects returns true for the two indexes. It
// covers both connections between the two fronts, regardless of which of them dialled.
func (n *network) setConditions(affects func(from, to int) bool, conditions faultproxy.Conditions) {
	for l, p := range n.proxies {
		if affects(l.from, l.to) {
			p.SetConditions(faultproxy.ToTarget, conditions)
		}
		if affects(l.to, l.from) {
			p.SetConditions(faultproxy.FromTarget, conditions)
		}
	}
}

// reset resets all connections, in a fixed order.
func (n *network) reset() {
	byPair := func(a, b link) int { return cmp.Or(a.from-b.from, a.to-b.to) }
	for _, l := range slices.SortedFunc(maps.Keys(n.proxies), byPair) {
		n.proxies[l].ResetConnections()
	}
}

func (n *network) stop() {
	for _, p := range n.proxies {
		p.Close()
	}
	n.proxies = nil
}

// everyLink selects all links in setConditions.
func everyLink(int, int) bool { return true }
