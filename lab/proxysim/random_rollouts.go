package proxysim

import (
	"fmt"
	"time"

	"dapplerouter/fleet/rollout"
)

// RandomRolloutOptions configures a random run of rollouts.
type RandomRolloutOptions struct {
	Seed             uint64
	Fronts           int
	StopWhenIsolated bool
	Trace            func(line string)
}

// versionKind is the kind of a version in a random run: good, or with a certain fault.
type versionKind int

const (
	goodVersion      versionKind = iota
	rejectedVersion              // some fronts reject it
	crashingVersion              // every front crashes on it
	failingVersion               // a part of the requests fail on it
	versionKindCount = int(iota)
)

// randomRollouts is a run that publishes versions and injects faults until its end. Each random value depends on those drawn before it,
// so a change of their order changes the run of every seed.
type randomRollouts struct {
	*Cluster
	end   time.Duration          // the virtual time at which publications and faults end
	kinds map[uint64]versionKind // the kinds of versions by number; a version that is missing is good
}

// RunRolloutsWithRandomFaults publishes versions, some of them faulty, under random faults that the seed determines, and then awaits
// recovery. It returns the violations; see Cluster.AwaitRecovery.
func RunRolloutsWithRandomFaults(o RandomRolloutOptions) (*Cluster, []string) {
	c := New(randomRolloutCluster(o))
	c.Trace = o.Trace
	for _, h := range c.Hosts {
		h.ClockRate = 0.95 + 0.1*c.Rand.Float64()
	}
	c.StartAll()
	c.Run(8 * time.Second)
	r := &randomRollouts{Cluster: c, end: c.Now + time.Minute, kinds: map[uint64]versionKind{}}
	for _, f := range c.Fronts {
		f.VersionFaults = r.versionFaults(f)
	}
	c.After(time.Second, r.injectNext)
	c.After(500*time.Millisecond, r.publishNext)
	c.Run(r.end - c.Now)
	clear(r.kinds)
	return c, c.AwaitRecovery(3 * time.Minute)
}

// randomRolloutCluster returns the options of the cluster of a random run. Some depend on the seed.
func randomRolloutCluster(o RandomRolloutOptions) Options {
	options := Options{
		Seed:          o.Seed,
		Fronts:        o.Fronts,
		Voters:        3,
		Fleet:         true,
		LeaseDuration: 3 * time.Second,
		Servers:       ServerOptions{Groups: 2, PerGroup: 2, Concurrency: 4, ServiceTime: 2 * time.Millisecond},
		Load:          LoadOptions{Rate: 8, WriteFraction: 0.3},
		Rollout:       RolloutOptions{ConfigLease: 6 * time.Second, StopWhenIsolated: o.StopWhenIsolated},
	}
	if o.StopWhenIsolated && o.Seed/2%2 == 0 { // a time limit requires StopWhenIsolated; half of these runs have one
		options.Rollout.InForceWithin = 15 * time.Second
	}
	return options
}

// versionFaults returns the faults of the run's versions on a front. The first two fronts accept a rejectedVersion.
func (r *randomRollouts) versionFaults(f *Front) VersionFaults {
	return VersionFaults{
		RejectsVersion:   func(v uint64) bool { return r.kinds[v] == rejectedVersion && f.Name > "f001" },
		CrashesOnVersion: func(v uint64) bool { return r.kinds[v] == crashingVersion },
		FailureRate: func(v uint64) float64 {
			if r.kinds[v] == failingVersion {
				return 0.3
			}
			return 0
		},
	}
}

// injectNext injects a random fault now, if the randomly chosen host is running, and schedules the next fault.
func (r *randomRollouts) injectNext() {
	if r.Now >= r.end {
		return
	}
	r.After(time.Duration(500+r.Rand.Int64N(6000))*time.Millisecond, r.injectNext)
	fault := Faults[r.Rand.IntN(len(Faults))]
	h := r.Hosts[r.Rand.IntN(len(r.Hosts))]
	if h.Up() && !h.Paused() {
		fault.Inject(r.Cluster, h)
	}
}

// publishNext submits a random action now and schedules the next one. The action publishes a version of a random kind, rolls back, or
// is based on a version that is not in force.
func (r *randomRollouts) publishNext() {
	if r.Now >= r.end {
		return
	}
	r.After(time.Duration(1000+r.Rand.Int64N(9000))*time.Millisecond, r.publishNext)
	f := r.Fronts[r.Rand.IntN(len(r.Fronts))]
	if !f.host.Up() {
		return
	}
	s := r.RolloutState()
	a := rollout.Action{
		Type:            rollout.ActionPublish,
		Base:            s.Base,
		Text:            fmt.Appendf(nil, "(rules (window book %dms))", 1+r.Rand.IntN(1900)),
		ObservationTime: time.Second,
		Stages:          [][]uint16{{1000}, {1, 1000}, {300, 600, 1000}}[r.Rand.IntN(3)],
		MaxFenced:       400,
		Mandatory:       r.Rand.IntN(2) == 0,
	}
	switch choice := r.Rand.IntN(8); {
	case choice == 0:
		a.Type = rollout.ActionRollBack
	case choice == 1 && s.Next == 0:
		a.Base++ // the action is based on a version that is not in force
	case choice <= versionKindCount:
		r.kinds[s.LastVersion+1] = versionKind(choice - 1)
	}
	r.SubmitAction(f, a, func(string) {})
}
