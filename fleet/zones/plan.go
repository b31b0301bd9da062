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

// Load is the work that one zone's servers of a group do for a request type.
type Load struct {
	Group          int64
	Zone           string
	Type           string
	Work           float64 // in the unit of capacities: busy servers
	PriorityWeight float64 // of a unit of work
	Immovable      bool    // a write, which goes to its primary, or a read that only this server may answer
	RemoteOverhead float64 // by what fraction the work grows in another zone, 0 for none
}

// Capacity is the total work that a zone's servers of a group can do.
type Capacity struct {
	Group int64
	Zone  string
	Work  float64
}

// Move is the part of a load that goes to another zone.
type Move struct {
	Group    int64
	Type, To string
	Work     float64
}

// Plan is the result of PlanEvacuation: how far a zone can be evacuated.
type Plan struct {
	Zone        string
	Share       float64            // share of the zone's movable work that the other zones can take, 0 to 1
	ShareByType map[string]float64 // the same by request type; if not all fits, types with the highest priority weight move first
	Moves       []Move
	Rejected    map[string]float64 // by request type: work to reject at once, because it would be late in every zone
	Limits      []string           // groups and zones without free capacity, as texts, sorted
}

// epsilon is the amount of work up to which work counts as none.
const epsilon = 1e-9

// PlanEvacuation plans how far a zone can be evacuated. It moves as much priority weight as the servers of the other zones can process.
// Each group is planned separately, since a group's work goes to its own servers only. Evacuated zones take no work. If no other zone has
// capacity, the share is 0. It returns an error if a linear program has no solution.
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

// planner holds the input and the partial results of PlanEvacuation.
type planner struct {
	plan           *Plan
	loads          []Load
	capacities     []Capacity
	evacuated      map[string]bool
	moved, movable map[string]float64 // work by request type
}

// planGroup plans which work of one group's servers in the zone moves to the group's servers in other zones.
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

// sources returns the loads to move, those with the highest priority weight first, and the work that each other zone does already.
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

// targets returns the free capacities of the other zones, sorted by name.
func (p *planner) targets(group int64, used map[string]float64) (targets []Capacity) {
	for _, c := range p.capacities {
		if c.Group == group && c.Zone != p.plan.Zone && !p.evacuated[c.Zone] && c.Work-used[c.Zone] > epsilon {
			targets = append(targets, Capacity{group, c.Zone, c.Work - used[c.Zone]})
		}
	}
	slices.SortFunc(targets, func(a, b Capacity) int { return cmp.Compare(a.Zone, b.Zone) })
	return targets
}

// summarize sets the plan's shares and the rejected work.
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

// solution is the solution of the linear program that plans the moves of work of one group (see solve).
type solution struct {
	x                []float64 // the moves by source and target, then the slack variables of sources, then those of targets
	sources, targets int
}

// moved returns the work that moves from a source to a target.
func (s *solution) moved(source, target int) float64 { return s.x[source*s.targets+target] }

// unused returns the capacity of a target that stays free.
func (s *solution) unused(target int) float64 {
	return s.x[s.sources*s.targets+s.sources+target]
}

// solve finds the moves of work between the zones' servers of one group that move the most priority weight. They are the solution of a
// linear program with a variable for each pair of source and target: the work that moves. It minimizes the negative sum of the moved
// work times its priority weight. The work that leaves a source is at most the source's work. The work that a target takes, including
// the overhead of work in another zone, is at most the target's free capacity. The simplex method needs equations, so each of these
// bounds has a slack variable.
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
