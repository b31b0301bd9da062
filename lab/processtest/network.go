package processtest

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"dapplerouter/testsupport/faultproxy"
)

// link is the pair of indexes of the front that dials and the one that is dialled.
type link struct{ from, to int }

// network is the fault proxies, one for each ordered pair of fronts.
type network struct {
	proxies map[link]*faultproxy.Hop
}

// startNetwork starts a proxy for each pair; on an error those that run are stopped.
func startNetwork(fronts []*Front, seed uint64) (network, error) {
	n := network{proxies: map[link]*faultproxy.Hop{}}
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

// address is where a front dials another one.
func (n *network) address(from, to int) string { return n.proxies[link{from, to}].Address() }

// set gives new conditions to the bytes that go from a front to another one, whichever of them dialled, where affects says so.
func (n *network) set(affects func(from, to int) bool, conditions faultproxy.Weather) {
	for l, p := range n.proxies {
		if affects(l.from, l.to) {
			p.Set(faultproxy.Out, conditions)
		}
		if affects(l.to, l.from) {
			p.Set(faultproxy.Back, conditions)
		}
	}
}

// reset closes all connections, in a fixed order.
func (n *network) reset() {
	byPair := func(a, b link) int { return cmp.Or(a.from-b.from, a.to-b.to) }
	for _, l := range slices.SortedFunc(maps.Keys(n.proxies), byPair) {
		n.proxies[l].Break()
	}
}

func (n *network) stop() {
	for _, p := range n.proxies {
		p.Close()
	}
	n.proxies = nil
}

func everyLink(int, int) bool { return true }
