package zones

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// Load is what one zone's members of a group carry of a request type.
type Load struct {
	Group   int64
	Zone    string
	Type    string
	Work    float64 // in the unit of capacities: servers kept busy
	Value   float64 // of a unit of work
	Stays   bool    // it can't move: a write, which goes with its primary, or a read that only that member may answer
	Farther float64 // by how much its work grows elsewhere, 0 for nothing
}

// Room is what a zone's members of a group can bear in all.
type Room struct {
	Group int64
	Zone  string
	Work  float64
}

// Moved is how much of a load goes where.
type Moved struct {
	Group    int64
	Type, To string
	Work     float64
}

// Plan is how far a zone can be left.
type Plan struct {
	Zone     string
	Share    float64            // of its movable work that the others can take, 0 to 1
	By       map[string]float64 // the same by request type, highest value first where it is not all
	Moves    []Moved
	Rejected map[string]float64 // by type: work that is better rejected at once than late everywhere
	Binds    []string           // limits that bind: group and zone whose members are full by it
}

// Leave plans how far a zone can be left: as much value as the members that stay can bear, for each group by itself, since a
// group's work goes to its own members only. It is a linear program; where there is nowhere to go the share is 0, and the zone is
// stayed in.
func Leave(zone string, loads []Load, rooms []Room, gone map[string]bool) (*Plan, error) {
	p := &Plan{Zone: zone, By: map[string]float64{}, Rejected: map[string]float64{}}
	groups := map[int64]bool{}
	for _, l := range loads {
		groups[l.Group] = true
	}
	moved, movable := map[string]float64{}, map[string]float64{}
	for _, g := range slices.Sorted(maps.Keys(groups)) {
		if err := p.group(g, loads, rooms, gone, moved, movable); err != nil {
			return nil, err
		}
	}
	all, took := 0.0, 0.0
	for t, n := range movable {
		p.By[t] = moved[t] / n
		if left := n - moved[t]; left > tiny {
			p.Rejected[t] = left
		}
		all, took = all+n, took+moved[t]
	}
	if all > 0 {
		p.Share = took / all
	}
	slices.Sort(p.Binds)
	return p, nil
}

const tiny = 1e-9

// group is the program of one group: a variable for each type and destination, a bound on each type's work and on each
// destination's room. The simplex method wants equations, so each bound gets a slack.
func (p *Plan) group(group int64, loads []Load, rooms []Room, gone map[string]bool, moved, movable map[string]float64) error {
	var from []Load
	used := map[string]float64{}
	for _, l := range loads {
		switch {
		case l.Group != group:
		case l.Zone != p.Zone:
			used[l.Zone] += l.Work
		case !l.Stays && l.Work > tiny:
			from = append(from, l)
			movable[l.Type] += l.Work
		}
	}
	if len(from) == 0 {
		return nil
	}
	slices.SortFunc(from, func(a, b Load) int { return cmp.Or(cmp.Compare(b.Value, a.Value), cmp.Compare(a.Type, b.Type)) })
	var to []Room
	for _, r := range rooms {
		if r.Group == group && r.Zone != p.Zone && !gone[r.Zone] && r.Work-used[r.Zone] > tiny {
			to = append(to, Room{group, r.Zone, r.Work - used[r.Zone]})
		}
	}
	if len(to) == 0 {
		p.Binds = append(p.Binds, fmt.Sprintf("group %d: no other zone has room", group))
		return nil
	}
	slices.SortFunc(to, func(a, b Room) int { return cmp.Compare(a.Zone, b.Zone) })
	f, d := len(from), len(to)
	rows, cols := f+d, f*d+f+d
	a := mat.NewDense(rows, cols, nil)
	b, c := make([]float64, rows), make([]float64, cols)
	basis := make([]int, rows)
	for i, l := range from {
		for j := range to {
			a.Set(i, i*d+j, 1)
			a.Set(f+j, i*d+j, 1+l.Farther)
			c[i*d+j] = -l.Value
		}
		a.Set(i, f*d+i, 1)
		b[i], basis[i] = l.Work, f*d+i
	}
	for j, r := range to {
		a.Set(f+j, f*d+f+j, 1)
		b[f+j], basis[f+j] = r.Work, f*d+f+j
	}
	_, x, err := lp.Simplex(c, a, b, 1e-10, basis)
	if err != nil && !errors.Is(err, lp.ErrSingular) {
		return fmt.Errorf("the plan for leaving %s, group %d: %w", p.Zone, group, err)
	}
	for i, l := range from {
		for j, r := range to {
			if w := x[i*d+j]; w > tiny {
				p.Moves = append(p.Moves, Moved{group, l.Type, r.Zone, w})
				moved[l.Type] += w
			}
		}
	}
	for j, r := range to {
		if x[f*d+f+j] < r.Work*1e-6 {
			p.Binds = append(p.Binds, fmt.Sprintf("group %d: the members of zone %s are full", group, r.Zone))
		}
	}
	return nil
}
