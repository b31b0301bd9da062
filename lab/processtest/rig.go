package processtest

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"dapplerouter/testsupport/fakeserver"
	"dapplerouter/testsupport/faultproxy"
)

// Front is one process of the program.
type Front struct {
	Name    string
	i       int
	clients string // where its clients connect
	mesh    string
	dir     string
	voter   bool

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	stopped bool
	lives   []life // of its processes
	gaps    []life // in which one stood still
}

type life struct{ from, to time.Time }

// Rig is what runs.
type Rig struct {
	Script    *Script
	Seed      uint64
	Program   string
	Dir       string
	Out       io.Writer // what happens, as it happens
	fronts    []*Front
	hops      map[[2]int]*faultproxy.Hop
	group     *fakeserver.Group
	other     *fakeserver.Group // that may be given up
	mustBy    []uint64          // versions that give it up for all
	cutAudit  int               // torn tails of audits that were made
	lists     *lists
	rnd       *rand.Rand
	born      time.Time
	said      sync.Mutex
	Calls     int
	Probes    int64
	mustHalt  []string // keepers whose disks lost something
	unmet     []string // what steps expected and was not so
	later     sync.WaitGroup
	portBlock net.Listener // holds the block of ports
	base      int
	used      int
}

const instanceConfigFormat = `{"name": %q, "listen": %q, "discovery": %q, "seed": "%x",
 "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "known": %s,
 "settings": {
  "Zones": ["a", "b", "c"], "Locality": %q, "FleetSize": %d, "Ordinal": %d, "Discovery": %q, "Tick": 5000000,
  "Classes": [
   {"Name": "browse", "Aim": 250000000, "Deadline": 2000000000, "Effect": "read_like", "Group": "all", "Worth": 1.0},
   {"Name": "book", "Aim": 250000000, "Deadline": 2000000000, "Effect": "idempotency_key", "Group": "cell", "Window": %d, "Worth": 5.0}],
  "FamilyInfo": {"ReadLevel": ["eventual", "mutate"], "StalenessBound": [0, 0], "RoleListed": "trailing",
   "Checks": "bounce", "HoldsFor": 50000000, "WriteMarks": "kept", "TellsPosition": true},
  "Rules": {"AnswerSlack": 20000000, "StopSendingWithin": 2000000000, "Cold": 1000000000, "Fall": 2000000000, "AskEvery": 2000000000},
  "Limits": {"AttemptsCap": 10, "MayProbe": true, "Cancel": true, "DialTimeout": 500000000, "ConnIdle": 30000000000,
   "RetryAfter": true, "MaxRetryAfter": 1000000000, "MayDuplicate": false, "Peers": false}
 }}`

// Ports of a rig lie in a block of its own, below those that the machine gives to whoever dials: so a front that is down for a
// while finds its own free again, though rigs run side by side. Who listens at a block's first port has the block.
const (
	firstPort  = 12000
	blockPorts = 200
	blocks     = 100
)

func (r *Rig) block() (err error) {
	at := int(r.Seed%blocks*7) + os.Getpid()
	for i := range blocks {
		r.base = firstPort + (at+i)%blocks*blockPorts
		if r.portBlock, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", r.base)); err == nil {
			return nil
		}
	}
	return fmt.Errorf("no block of ports is free: %w", err)
}

// ports takes ports of the block that nobody has; a front keeps its own over restarts.
func (r *Rig) ports(n int) (all []string, err error) {
	for len(all) < n {
		if r.used++; r.used >= blockPorts {
			return nil, errors.New("a rig has no more ports")
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", r.base+r.used))
		if err == nil {
			all = append(all, l.Addr().String())
			l.Close()
		} else if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, err
		}
	}
	return all, nil
}

// Run plays a script and reads what came of it. The error is a rig that could not be set up; what broke stands in the
// verdict.
func (r *Rig) Run() (v *Verdict, err error) {
	s := r.Script
	r.rnd = rand.New(rand.NewPCG(r.Seed, 5))
	r.hops = map[[2]int]*faultproxy.Hop{}
	if r.Out == nil {
		r.Out = io.Discard
	}
	if r.group, err = fakeserver.Start(fakeserver.Restaurants(5, 20, 50), s.Members, 8, time.Millisecond, 0); err != nil {
		return nil, err
	}
	defer r.group.Close()
	if s.Right > 0 {
		if r.other, err = fakeserver.Start(fakeserver.Restaurants(5, 20, 50), 2, 8, time.Millisecond, 0); err != nil {
			return nil, err
		}
		defer r.other.Close()
		r.other.ID, r.group.Guests = 1, r.other.Members
	}
	var listed struct{ Endpoints json.RawMessage }
	if err := json.Unmarshal(r.group.Listed(), &listed); err != nil {
		return nil, err
	}
	r.lists = newLists(listed.Endpoints)
	defer r.lists.close()
	defer r.close()
	if err := r.block(); err != nil {
		return nil, err
	}
	defer r.portBlock.Close()
	addresses, err := r.ports(2 * s.Fronts)
	if err != nil {
		return nil, err
	}
	for i := range s.Fronts {
		f := &Front{Name: frontName(i), i: i, clients: addresses[2*i], mesh: addresses[2*i+1], voter: i < s.Voters,
			dir: filepath.Join(r.Dir, frontName(i))}
		r.fronts = append(r.fronts, f)
	}
	for i := range r.fronts {
		for j, to := range r.fronts {
			if i != j && !s.Off {
				h, err := faultproxy.New(to.mesh, r.Seed+uint64(i*100+j))
				if err != nil {
					return nil, err
				}
				r.hops[[2]int{i, j}] = h
			}
		}
	}
	r.born = time.Now()
	for _, f := range r.fronts {
		if err := r.write(f); err != nil {
			return nil, err
		}
		if err := r.start(f); err != nil {
			return nil, err
		}
	}
	if err := r.ready(); err != nil {
		return nil, err
	}
	r.say("-", "%d fronts serve; the script begins", len(r.fronts))
	began := time.Now()
	calls, probes := r.lists.calls(), r.group.Probes.Load()
	cpu := r.cpu()
	load := r.clients(s.Clients)
	steps := slices.Clone(s.Steps)
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	for _, st := range steps {
		time.Sleep(time.Until(began.Add(st.At)))
		if err := r.do(st); err != nil {
			return nil, fmt.Errorf("%s: %w", st.Place, err)
		}
	}
	time.Sleep(time.Until(began.Add(s.For)))
	r.later.Wait()
	r.Calls, r.Probes = r.lists.calls()-calls, r.group.Probes.Load()-probes
	requests := load.end()
	cpu = r.cpu() - cpu
	rested := r.rest()
	seen := r.status()
	memory, watches := r.memory(), r.lists.watches()
	if !s.Off {
		time.Sleep(50 * time.Millisecond)
	}
	r.close()
	history, err := r.history()
	if err != nil {
		return nil, err
	}
	v = r.judge(began, requests, history, seen, rested)
	v.Memory, v.Watches, v.CPU = memory, watches, cpu
	return v, nil
}

func (r *Rig) say(who, format string, args ...any) {
	r.said.Lock()
	defer r.said.Unlock()
	fmt.Fprintf(r.Out, "%8.3fs  %-4s %s\n", time.Since(r.born).Seconds(), who, fmt.Sprintf(format, args...))
}

// close ends every process, and waits. What audits have in hand is written first.
func (r *Rig) close() {
	if r.Script.Right > 0 {
		for _, f := range r.fronts {
			f.signal(syscall.SIGCONT)
			f.signal(syscall.SIGTERM)
		}
		for _, f := range r.fronts {
			if f.ended != nil {
				select {
				case <-f.ended:
				case <-time.After(8 * time.Second):
				}
			}
		}
	}
	for _, f := range r.fronts {
		f.signal(syscall.SIGCONT)
		f.signal(syscall.SIGKILL)
		if f.ended != nil {
			<-f.ended
		}
	}
	for _, h := range r.hops {
		h.Close()
	}
	r.hops = nil
}

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
