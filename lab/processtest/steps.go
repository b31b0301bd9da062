package processtest

import (
	"cmp"
	"fmt"
	"net/url"
	"os"
	"strings"
	"syscall"
	"time"

	"dapplerouter/adminapi"
	"dapplerouter/testsupport/faultproxy"
)

// Kinds of steps whose arguments are not only fronts and durations.
const (
	stepPublish  = "publish"
	stepTransfer = "transfer"
)

// stepKind defines a kind of step.
type stepKind struct {
	fronts, durations int    // number of arguments of each type
	help              string // syntax and meaning, as in the README of the scripts
	run               func(*Harness, runningStep) error
}

// runningStep is a step whose front selectors have been resolved.
type runningStep struct {
	Step
	fronts         []*Front
	effectDuration time.Duration // how long its effect lasts: the last of Step.Durations
}

// stepKinds maps the name of each kind of step to its definition.
var stepKinds = map[string]stepKind{
	"pause":     {1, 1, "(pause FRONT FOR): SIGSTOP, and SIGCONT later", (*Harness).pauseFront},
	"kill":      {1, 1, "(kill FRONT FOR): SIGKILL, and a start later", (*Harness).killFront},
	"terminate": {1, 1, "(terminate FRONT FOR): SIGTERM, and a start later", (*Harness).terminateFront},
	"duplicate": {1, 1, "(duplicate FRONT FOR): a second process of its name runs for a while", (*Harness).duplicateFront},

	"partition":         {2, 1, "(partition FRONT FRONT FOR): nothing passes between the two", (*Harness).partition},
	"partition-one-way": {2, 1, "(partition-one-way FRONT FRONT FOR): nothing passes from the first to the second", (*Harness).partitionOneWay},
	"isolate":           {1, 1, "(isolate FRONT FOR): nothing passes between it and the others", (*Harness).isolate},
	"block-inbound":     {1, 1, "(block-inbound FRONT FOR): nothing reaches it from the others", (*Harness).blockInbound},
	"block-outbound":    {1, 1, "(block-outbound FRONT FOR): nothing from it reaches the others", (*Harness).blockOutbound},
	"delay":             {0, 2, "(delay BY FOR): all that passes between fronts is delayed, by up to twice as much", (*Harness).delayLinks},
	"corrupt":           {0, 1, "(corrupt FOR): bytes between fronts are changed now and then", (*Harness).corruptLinks},
	"reset":             {0, 0, "(reset): every connection between fronts is closed", (*Harness).resetLinks},

	"truncate-audit": {1, 1, "(truncate-audit FRONT FOR): it is killed, the last line of its audit log truncated, and started later", (*Harness).killAndTruncateAudit},
	"back-up-disk":   {1, 0, "(back-up-disk FRONT): the voter's file is copied", (*Harness).backUpDisk},
	"restore-disk":   {1, 1, "(restore-disk FRONT FOR): it is killed, and started later from the copy", (*Harness).killAndRestoreDisk},
	"truncate-disk":  {1, 1, "(truncate-disk FRONT FOR): it is killed, its voter's file truncated, and started later", (*Harness).killAndTruncateDisk},

	"expect-no-leader":         {0, 0, "(expect-no-leader): no front may have a leader", (*Harness).expectNoLeader},
	"recover-voters":           {1, 0, "(recover-voters FRONT): the operator recovers the voters from its disk, which must succeed", (*Harness).recoverVoters},
	"expect-recovery-rejected": {1, 0, "(expect-recovery-rejected FRONT): the operator tries to recover the voters from its disk, which must be rejected", (*Harness).expectRecoveryRejected},

	stepTransfer: {0, 0, "(transfer LEASE): it is transferred by the operator", (*Harness).transferLease},
	stepPublish:  {0, 0, "(publish give-up|window|tight|both|more|none [must] [1 50% 100%]): rules are published, by a front that has a leader", (*Harness).publish},
	"roll-back":  {0, 0, "(roll-back): the rollout is rolled back by the operator", (*Harness).rollBack},

	"endpoints-down":   {0, 1, "(endpoints-down FOR): the endpoint service resets its connections", (*Harness).stopEndpointService},
	"endpoints-stale":  {0, 1, "(endpoints-stale FOR): the endpoint service serves an older list", (*Harness).serveStaleEndpoints},
	"endpoints-change": {0, 0, "(endpoints-change): the endpoint list changes", (*Harness).changeEndpoints},
	"hang-server":      {0, 1, "(hang-server FOR): a replica accepts connections and does not answer", (*Harness).hangServer},
}

// runStep resolves the step's front selectors and carries out the step. It skips the step if a selector matches no front in time.
func (h *Harness) runStep(s Step) error {
	running := runningStep{Step: s}
	for _, selector := range s.Fronts {
		f := h.waitForFront(selector)
		if f == nil {
			h.logf("-", "%s: no front is %s", s.Kind, selector)
			return nil
		}
		running.fronts = append(running.fronts, f)
	}
	if n := len(s.Durations); n > 0 {
		running.effectDuration = s.Durations[n-1]
	}
	h.logStep(running)
	return stepKinds[s.Kind].run(h, running)
}

// logStep writes a progress line with the step's kind and arguments.
func (h *Harness) logStep(s runningStep) {
	words := append([]string{s.Kind}, s.Arguments...)
	about := "-"
	if len(s.fronts) > 0 {
		about = s.fronts[0].Name
		words = append(words, frontNames(s.fronts))
	}
	if s.Lease != "" {
		words = append(words, s.Lease)
	}
	for _, d := range s.Durations {
		words = append(words, d.String())
	}
	h.logf(about, "%s", strings.Join(words, " "))
}

// waitForFront waits up to two lease durations for a front that matches the selector. It returns nil if there is none.
func (h *Harness) waitForFront(s FrontSelector) *Front {
	for deadline := time.Now().Add(2 * h.Script.LeaseDuration); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if f := h.selectFront(s); f != nil {
			return f
		}
	}
	return nil
}

// selectFront returns a front that matches the selector at present, or nil. If several match, it picks one at random.
func (h *Harness) selectFront(s FrontSelector) *Front {
	leaseholders, leader := map[string]bool{}, ""
	for _, f := range h.fronts {
		if !f.isRunning() {
			continue
		}
		status, err := f.status()
		if err != nil {
			continue
		}
		for _, l := range status.Leases {
			if l.Left > 0 {
				leaseholders[f.Name] = true
				if s.Name == selectLeaseholder && l.Lease == s.Lease {
					return f
				}
			}
		}
		leader = status.Leader
	}
	var candidates []*Front
	for _, f := range h.fronts {
		if f.Name == s.Name {
			return f
		}
		if f.isRunning() && f.matches(s, leader, leaseholders[f.Name]) {
			candidates = append(candidates, f)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[h.rnd.IntN(len(candidates))]
}

// matches reports whether a running front has the role that the selector names. Leader is the name of the present leader, and
// leaseholder says whether the front holds a lease.
func (f *Front) matches(s FrontSelector, leader string, leaseholder bool) bool {
	switch s.Name {
	case selectLeader:
		return f.Name == leader
	case selectVoter:
		return f.voter
	case selectFollower:
		return !f.voter && !leaseholder
	case selectNewest:
		status, err := f.rolloutStatus()
		return err == nil && status.Next != 0 && status.ActiveVersion == status.Next
	}
	return s.Name == selectAny
}

// after calls a function in the background after a delay. Run waits until the call has returned.
func (h *Harness) after(d time.Duration, call func()) {
	h.background.Go(func() {
		time.Sleep(d)
		call()
	})
}

// pauseFront suspends a front's process with SIGSTOP and returns. The process is resumed after the step's duration.
func (h *Harness) pauseFront(s runningStep) error {
	f := s.fronts[0]
	f.pause()
	h.after(s.effectDuration, func() {
		f.resume()
		h.logf(f.Name, "resumes")
	})
	return nil
}

// restart ends a front's process with a signal and starts a new one after the step's duration. It calls whileDown once the old
// process has exited, and afterStart once the new one has been started. Either function may be nil.
func (h *Harness) restart(s runningStep, signal os.Signal, whileDown, afterStart func(*Front) error) error {
	f := s.fronts[0]
	f.signal(signal)
	<-f.exited
	if whileDown != nil {
		if err := whileDown(f); err != nil {
			return err
		}
	}
	h.after(s.effectDuration, func() {
		h.logf(f.Name, "starts again")
		err := h.start(f)
		if err == nil && afterStart != nil {
			err = afterStart(f)
		}
		if err != nil {
			h.logf(f.Name, "does not start: %v", err)
		}
	})
	return nil
}

func (h *Harness) killFront(s runningStep) error      { return h.restart(s, syscall.SIGKILL, nil, nil) }
func (h *Harness) terminateFront(s runningStep) error { return h.restart(s, syscall.SIGTERM, nil, nil) }

func (h *Harness) killAndTruncateAudit(s runningStep) error {
	return h.restart(s, syscall.SIGKILL, h.truncateAudit, nil)
}

func (h *Harness) killAndRestoreDisk(s runningStep) error {
	return h.restart(s, syscall.SIGKILL, h.restoreDisk, nil)
}

// killAndTruncateDisk kills a voter, truncates its file and starts it again. The voter must halt.
func (h *Harness) killAndTruncateDisk(s runningStep) error {
	h.expected.mustHalt = append(h.expected.mustHalt, s.fronts[0].Name)
	return h.restart(s, syscall.SIGKILL, truncateVoterFile, h.replaceTruncatedDisk)
}

// replaceTruncatedDisk does what an operator does about a voter with an unreadable file. The process exits by itself because it
// cannot read the file. The file is moved away, and the front is started without it under the same name. If the process is still
// running after 5 s, replaceTruncatedDisk only logs this.
func (h *Harness) replaceTruncatedDisk(f *Front) error {
	select {
	case <-f.exited:
	case <-time.After(5 * time.Second):
		h.logf(f.Name, "started with a truncated voter file")
		return nil
	}
	h.logf(f.Name, "rejects its truncated voter file, which is moved away")
	if err := os.Rename(f.voterFile(), f.voterFile()+".torn"); err != nil {
		return err
	}
	return h.start(f)
}

// duplicateFront runs a second process with the name of a running front. After the step's duration it does what an operator would do:
// it kills the second process and restarts the first.
func (h *Harness) duplicateFront(s runningStep) error {
	first := s.fronts[0]
	addresses, err := h.ports.take(2)
	if err != nil {
		return err
	}
	second := &Front{Name: first.Name, index: first.index, clientAddress: addresses[0], meshAddress: addresses[1], dir: first.dir + "-twin"}
	if err := h.writeConfiguration(second); err != nil {
		return err
	}
	if err := h.startWith(second, []string{"EDGE_LISTEN=" + second.clientAddress}); err != nil {
		return err
	}
	h.after(s.effectDuration, func() {
		second.signal(syscall.SIGKILL)
		<-second.exited
		first.signal(syscall.SIGTERM)
		<-first.exited
		if err := h.start(first); err != nil {
			h.logf(first.Name, "does not start: %v", err)
		}
	})
	return nil
}

// stallLinks holds back all bytes on the affected links for the step's duration.
func (h *Harness) stallLinks(s runningStep, affects func(from, to int) bool) error {
	h.network.setConditions(affects, faultproxy.Conditions{Stall: true})
	h.after(s.effectDuration, func() {
		h.network.setConditions(affects, faultproxy.Conditions{})
		h.logf("-", "%s of %s is over", s.Kind, frontNames(s.fronts))
	})
	return nil
}

func (h *Harness) partition(s runningStep) error {
	a, b := s.fronts[0].index, s.fronts[1].index
	return h.stallLinks(s, func(from, to int) bool { return from == a && to == b || from == b && to == a })
}

func (h *Harness) partitionOneWay(s runningStep) error {
	a, b := s.fronts[0].index, s.fronts[1].index
	return h.stallLinks(s, func(from, to int) bool { return from == a && to == b })
}

func (h *Harness) isolate(s runningStep) error {
	f := s.fronts[0].index
	return h.stallLinks(s, func(from, to int) bool { return from == f || to == f })
}

func (h *Harness) blockInbound(s runningStep) error {
	f := s.fronts[0].index
	return h.stallLinks(s, func(_, to int) bool { return to == f })
}

func (h *Harness) blockOutbound(s runningStep) error {
	f := s.fronts[0].index
	return h.stallLinks(s, func(from, _ int) bool { return from == f })
}

// delayLinks delays the traffic on all links by at least the first duration and at most twice as much.
func (h *Harness) delayLinks(s runningStep) error {
	return h.degradeLinks(s, faultproxy.Conditions{Delay: s.Durations[0], Jitter: s.Durations[0]})
}

// corruptLinks corrupts bytes on all links at random.
func (h *Harness) corruptLinks(s runningStep) error {
	return h.degradeLinks(s, faultproxy.Conditions{CorruptProbability: 0.05})
}

// degradeLinks applies conditions to all links for the step's duration.
func (h *Harness) degradeLinks(s runningStep, conditions faultproxy.Conditions) error {
	h.network.setConditions(everyLink, conditions)
	h.after(s.effectDuration, func() { h.network.setConditions(everyLink, faultproxy.Conditions{}) })
	return nil
}

func (h *Harness) resetLinks(runningStep) error {
	h.network.reset()
	return nil
}

func (h *Harness) stopEndpointService(s runningStep) error {
	h.endpoints.set(func() { h.endpoints.down = true })
	h.after(s.effectDuration, func() { h.endpoints.set(func() { h.endpoints.down = false }) })
	return nil
}

func (h *Harness) serveStaleEndpoints(s runningStep) error {
	h.endpoints.set(func() { h.endpoints.stale = true })
	h.after(s.effectDuration, func() { h.endpoints.set(func() { h.endpoints.stale = false }) })
	return nil
}

// changeEndpoints publishes the endpoint list under a new index. The entries stay the same.
func (h *Harness) changeEndpoints(runningStep) error {
	h.endpoints.set(func() { h.endpoints.index++ })
	return nil
}

// hangServer makes the last server, which is a replica, stop answering for the step's duration.
func (h *Harness) hangServer(s runningStep) error {
	server := h.servers.Servers[len(h.servers.Servers)-1]
	server.Hang(true)
	h.after(s.effectDuration, func() {
		server.Hang(false)
		h.logf("-", "the server answers again")
	})
	return nil
}

// transferLease asks the first front that has a leader to transfer a lease. It does nothing if no front has a leader.
func (h *Harness) transferLease(s runningStep) error {
	for _, f := range h.fronts {
		if status, err := f.status(); err == nil && !status.Alone {
			h.background.Go(func() {
				var out map[string]bool
				err := adminapi.Call(f.controlSocket(), "POST", "/v1/fleet/transfer", url.Values{"lease": {s.Lease}}, &out)
				h.logf("-", "transfer %s by %s: %s", s.Lease, f.Name, cmp.Or(errorText(err), "done"))
			})
			return nil
		}
	}
	return nil
}

// publish publishes rules through a front that has a leader. The admin API takes each stage in thousandths of the fleet, or as 1 for a
// single front. A script gives stages in percent.
func (h *Harness) publish(s runningStep) error {
	mandatory := false
	var stages []string
	for _, w := range s.Arguments[1:] {
		switch percent, ok := strings.CutSuffix(w, "%"); {
		case w == "must":
			mandatory = true
		case ok:
			stages = append(stages, percent+"0")
		default:
			stages = append(stages, w)
		}
	}
	if stages == nil {
		stages = []string{"1", "500", "1000"}
	}
	publication := s.Arguments[0]
	q := url.Values{"do": {"publish"}, "text": {publications[publication]}, "waves": {strings.Join(stages, ",")},
		"watch": {h.Script.LeaseDuration.String()}, "must": {fmt.Sprint(mandatory)}, "shut_out": {"400"}}
	h.requestRollout(s, q, func(version uint64) {
		if publication == "give-up" && mandatory {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.expected.mandatoryVersions = append(h.expected.mandatoryVersions, version)
		}
	})
	return nil
}

// rollBack requests that the rollout in progress be rolled back.
func (h *Harness) rollBack(s runningStep) error {
	h.requestRollout(s, url.Values{"do": {"back"}, "why": {"the script"}}, func(uint64) {})
	return nil
}

// requestRollout sends an operator's request in the background to the first front that has a leader. It looks for such a front up to
// 20 times, a quarter of a lease duration apart. If the request succeeds, it calls succeeded with the version in the response.
func (h *Harness) requestRollout(s runningStep, q url.Values, succeeded func(version uint64)) {
	h.background.Go(func() {
		for range 20 {
			for _, f := range h.fronts {
				status, err := f.status()
				if err != nil || status.Alone {
					continue
				}
				var out struct{ Version uint64 }
				err = adminapi.Call(f.controlSocket(), "POST", "/v1/fleet/roll", q, &out)
				h.logf("-", "%s by %s: %s", strings.Join(append([]string{s.Kind}, s.Arguments...), " "), f.Name,
					cmp.Or(errorText(err), fmt.Sprintf("done, version %d", out.Version)))
				if err == nil {
					succeeded(out.Version)
				}
				return
			}
			time.Sleep(h.Script.LeaseDuration / 4)
		}
	})
}

// errorText returns the error's message, or "" for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// frontNames returns the names of the fronts, separated by spaces.
func frontNames(fronts []*Front) string {
	var names []string
	for _, f := range fronts {
		names = append(names, f.Name)
	}
	return strings.Join(names, " ")
}
