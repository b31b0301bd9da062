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

// Load is what one zone's servers of a group process of a request type.
type Load struct {
	Group          int64
	Zone           string
	Type           string
	Work           float64 // in the unit of capacities: busy servers
	PriorityWeight float64 // of a unit of work
	Immovable      bool    // a write, which goes to its primary, or a read that only that server may answer
	RemoteOverhead float64 // by how much its work grows in another zone, 0 for nothing
}

// Capacity is what a zone's servers of a group can process in all.
type Capacity struct {
	Group int64
	Zone  string
	Work  float64
}

// Move is how much of a load goes to another zone.
type Move struct {
	Group    int64
	Type, To string
	Work     float64
}

// Plan is how far a zone can be evacuated.
type Plan struct {
	Zone        string
	Share       float64            // of its movable work that the others can take, 0 to 1
	ShareByType map[string]float64 // the same by request type; the highest priority weight goes first where it is not all
	Moves       []Move
	Rejected    map[string]float64 // by type: work that is better rejected at once than late everywhere
	Limits      []string           // the groups and zones without more capacity, sorted
}

// epsilon is the work that counts as none.
const epsilon = 1e-9

// PlanEvacuation plans how far a zone can be evacuated: as much priority weight as the servers of the other zones can process, for each
// group by itself, since a group's work goes to its own servers only. Zones that are evacuated take nothing. Where no zone has capacity
// the share is 0. The error is a linear program without a solution.
func PlanEvacuation(zone string, loads []Load, capacities []Capacity, evacuated map[string]bool) (*Plan, error) {
	p := &planner{
		plan:       &Plan{Zone: zone, ShareByType: map[string]float64{}, Rejected: map[string]float64{}},
		loads:      loads,
		capacities: capacities,
		evacuated:  evacuated,
		moved:      map[string]float64{},
		movable:    map[string]float64{},
	}
	groups := map[int64]bool{}
	for _, l := range loads {
		groups[l.Group] = true
	}
	for _, group := range slices.Sorted(maps.Keys(groups)) {
		if err := p.planGroup(group); err != nil {
			return nil, err
		}
	}
	p.summarize()
	return p.plan, nil
}

// planner is what PlanEvacuation works on.
type planner struct {
	plan           *Plan
	loads          []Load
	capacities     []Capacity
	evacuated      map[string]bool
	moved, movable map[string]float64 // work by request type
}

// planGroup plans one group's moves.
func (p *planner) planGroup(group int64) error {
	sources, used := p.sources(group)
	if len(sources) == 0 {
		return nil
	}
	targets := p.targets(group, used)
	if len(targets) == 0 {
		p.plan.Limits = append(p.plan.Limits, fmt.Sprintf("group %d: no other zone has capacity", group))
		return nil
	}
	solution, err := solve(sources, targets)
	if err != nil {
		return fmt.Errorf("plan the evacuation of zone %s, group %d: %w", p.plan.Zone, group, err)
	}
	for i, load := range sources {
		for j, target := range targets {
			if work := solution.moved(i, j); work > epsilon {
				p.plan.Moves = append(p.plan.Moves, Move{group, load.Type, target.Zone, work})
				p.moved[load.Type] += work
			}
		}
	}
	for j, target := range targets {
		if solution.unused(j) < target.Work*1e-6 {
			p.plan.Limits = append(p.plan.Limits, fmt.Sprintf("group %d: the servers of zone %s are saturated", group, target.Zone))
		}
	}
	return nil
}

// sources returns the loads to move, highest priority weight first, and the work of the other zones.
func (p *planner) sources(group int64) (sources []Load, used map[string]float64) {
	used = map[string]float64{}
	for _, l := range p.loads {
		switch {
		case l.Group != group:
		case l.Zone != p.plan.Zone:
			used[l.Zone] += l.Work
		case !l.Immovable && l.Work > epsilon:
			sources = append(sources, l)
			p.movable[l.Type] += l.Work
		}
	}
	slices.SortFunc(sources, func(a, b Load) int {
		return cmp.Or(cmp.Compare(b.PriorityWeight, a.PriorityWeight), cmp.Compare(a.Type, b.Type))
	})
	return sources, used
}

// targets returns the free capacities of the other zones, by name.
func (p *planner) targets(group int64, used map[string]float64) (targets []Capacity) {
	for _, c := range p.capacities {
		if c.Group == group && c.Zone != p.plan.Zone && !p.evacuated[c.Zone] && c.Work-used[c.Zone] > epsilon {
			targets = append(targets, Capacity{group, c.Zone, c.Work - used[c.Zone]})
		}
	}
	slices.SortFunc(targets, func(a, b Capacity) int { return cmp.Compare(a.Zone, b.Zone) })
	return targets
}

// summarize sets the plan's shares, and what is rejected.
func (p *planner) summarize() {
	movable, moved := 0.0, 0.0
	for typ, work := range p.movable {
		p.plan.ShareByType[typ] = p.moved[typ] / work
		if left := work - p.moved[typ]; left > epsilon {
			p.plan.Rejected[typ] = left
		}
		movable, moved = movable+work, moved+p.moved[typ]
	}
	if movable > 0 {
		p.plan.Share = moved / movable
	}
	slices.Sort(p.plan.Limits)
}

// solution is the solution of one group's linear program.
type solution struct {
	x                []float64
	sources, targets int
}

// moved is the work that goes from a source to a target.
func (s *solution) moved(source, target int) float64 { return s.x[source*s.targets+target] }

// unused is a target's capacity that stays free.
func (s *solution) unused(target int) float64 {
	return s.x[s.sources*s.targets+s.sources+target]
}

// solve solves the linear program of one group: a variable for each source and target, a bound on each source's work and on each
// target's capacity. The simplex method needs equations, so that each bound gets a slack variable.
func solve(sources []Load, targets []Capacity) (*solution, error) {
	n, m := len(sources), len(targets)
	rows, columns := n+m, n*m+n+m
	a := mat.NewDense(rows, columns, nil)
	b, c := make([]float64, rows), make([]float64, columns)
	basis := make([]int, rows)
	for i, load := range sources {
		for j := range targets {
			a.Set(i, i*m+j, 1)
			a.Set(n+j, i*m+j, 1+load.RemoteOverhead)
			c[i*m+j] = -load.PriorityWeight
		}
		a.Set(i, n*m+i, 1)
		b[i], basis[i] = load.Work, n*m+i
	}
	for j, target := range targets {
		a.Set(n+j, n*m+n+j, 1)
		b[n+j], basis[n+j] = target.Work, n*m+n+j
	}
	_, x, err := lp.Simplex(c, a, b, 1e-10, basis)
	if err != nil && !errors.Is(err, lp.ErrSingular) {
		return nil, err
	}
	return &solution{x, n, m}, nil
}
