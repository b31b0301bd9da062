package zones

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// The plan moves as much priority weight as the best distribution of whole units of work.
func TestPlanIsAsGoodAsExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		types := rapid.IntRange(1, 3).Draw(t, "types")
		var loads []Load
		var capacities []Capacity
		for i := range types {
			loads = append(loads, Load{Group: 1, Zone: "a", Type: fmt.Sprint("t", i), Work: float64(rapid.IntRange(0, 4).Draw(t, "work")),
				PriorityWeight: float64(rapid.IntRange(1, 9).Draw(t, "weight")), Immovable: rapid.IntRange(0, 5).Draw(t, "immovable") == 0})
		}
		for _, zone := range []string{"b", "c"} {
			capacities = append(capacities, Capacity{1, zone, float64(rapid.IntRange(0, 6).Draw(t, "capacity"))})
			loads = append(loads, Load{Group: 1, Zone: zone, Type: "t0", Work: float64(rapid.IntRange(0, 3).Draw(t, "used")), PriorityWeight: 1})
		}
		p, err := PlanEvacuation("a", loads, capacities, nil)
		if err != nil {
			t.Fatal(err)
		}
		weights := map[string]float64{}
		for _, l := range loads[:types] {
			weights[l.Type] = l.PriorityWeight
		}
		moved, received := 0.0, map[string]float64{}
		for _, m := range p.Moves {
			moved += m.Work * weights[m.Type]
			received[m.To] += m.Work
		}
		free := 0.0
		for i, c := range capacities {
			left := max(0, c.Work-loads[types+i].Work)
			free += left
			if received[c.Zone] > left+1e-6 {
				t.Fatalf("zone %s gets %v of %v", c.Zone, received[c.Zone], left)
			}
		}
		if best := bestMoves(loads[:types], free); math.Abs(moved-best) > 1e-6 {
			t.Fatalf("the plan moves a weight of %v, and %v is possible: %+v", moved, best, p)
		}
	})
}

// bestMoves returns the largest priority weight of whole units of loads that fit within a free capacity.
func bestMoves(loads []Load, free float64) float64 {
	if len(loads) == 0 {
		return 0
	}
	best := 0.0
	for work := 0.0; work <= min(free, loads[0].Work); work++ {
		if loads[0].Immovable && work > 0 {
			break
		}
		best = max(best, work*loads[0].PriorityWeight+bestMoves(loads[1:], free-work))
	}
	return best
}

// BenchmarkPlan measures a plan for 300 servers: 100 groups in three zones, with six request types.
func BenchmarkPlan(b *testing.B) {
	var loads []Load
	var capacities []Capacity
	for group := range int64(100) {
		for _, zone := range allZones {
			capacities = append(capacities, Capacity{group, zone, 8})
			for typ := range 6 {
				loads = append(loads, Load{Group: group, Zone: zone, Type: fmt.Sprint("t", typ), Work: 0.9, PriorityWeight: float64(1 + typ), Immovable: typ == 5, RemoteOverhead: 0.1})
			}
		}
	}
	for b.Loop() {
		p, err := PlanEvacuation("a", loads, capacities, nil)
		if err != nil || p.Share < 0.99 {
			b.Fatal(err, p)
		}
	}
}
