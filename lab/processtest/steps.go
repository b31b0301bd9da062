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

// Steps that take other arguments than fronts and durations.
const (
	stepPublish  = "publish"
	stepTransfer = "transfer"
)

// stepKind is a kind of step: its arguments and what it does.
type stepKind struct {
	fronts, durations int // that it takes
	help              string
	run               func(*Harness, runningStep) error
}

// runningStep is a step whose fronts have been found.
type runningStep struct {
	Step
	fronts []*Front
	lasts  time.Duration // the last of its durations
}

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

// runStep finds the step's fronts and carries it out. A step whose front is not found in time is passed over.
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
		running.lasts = s.Durations[n-1]
	}
	if len(running.fronts) > 0 {
		h.logf(running.fronts[0].Name, "%s %s for %v", s.Kind, frontNames(running.fronts), running.lasts)
	} else {
		h.logf("-", "%s %s %v", s.Kind, cmp.Or(s.Lease, strings.Join(s.Arguments, " ")), s.Durations)
	}
	return stepKinds[s.Kind].run(h, running)
}

// waitForFront waits up to two lease durations for a front that the selector names, nil for none.
func (h *Harness) waitForFront(s FrontSelector) *Front {
	for deadline := time.Now().Add(2 * h.Script.LeaseDuration); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if f := h.selectFront(s); f != nil {
			return f
		}
	}
	return nil
}

// selectFront finds the front that a selector names, nil for none just now. It draws among several.
func (h *Harness) selectFront(s FrontSelector) *Front {
	leaseholders, leader := map[string]bool{}, ""
	for _, f := range h.fronts {
		if !f.runs() {
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
		if f.runs() && f.matches(s, leader, leaseholders[f.Name]) {
			candidates = append(candidates, f)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[h.rnd.IntN(len(candidates))]
}

// matches reports whether a running front has the part that a selector names.
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

// after calls a function later; Run waits for it.
func (h *Harness) after(d time.Duration, call func()) {
	h.background.Go(func() {
		time.Sleep(d)
		call()
	})
}

func (h *Harness) pauseFront(s runningStep) error {
	f := s.fronts[0]
	f.pause()
	h.after(s.lasts, func() {
		f.resume()
		h.logf(f.Name, "resumes")
	})
	return nil
}

// restart ends a front's process and starts it again later. Either function may be nil.
func (h *Harness) restart(s runningStep, signal os.Signal, whileDown, afterStart func(*Front) error) error {
	f := s.fronts[0]
	f.signal(signal)
	<-f.exited
	if whileDown != nil {
		if err := whileDown(f); err != nil {
			return err
		}
	}
	h.after(s.lasts, func() {
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

func (h *Harness) killAndTruncateDisk(s runningStep) error {
	h.expected.mustHalt = append(h.expected.mustHalt, s.fronts[0].Name)
	return h.restart(s, syscall.SIGKILL, truncateVoterFile, h.replaceTruncatedDisk)
}

// replaceTruncatedDisk does what the operator of a voter with an unreadable file does: the process exits by itself, the file is moved
// away, and the front is started without it under the same name.
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

// duplicateFront runs a second process of a front's name. After it the operator kills that one, and restarts the first.
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
	h.after(s.lasts, func() {
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

// stallLinks stops bytes between fronts while the step lasts.
func (h *Harness) stallLinks(s runningStep, affects func(from, to int) bool) error {
	h.network.set(affects, faultproxy.Weather{Stall: true})
	h.after(s.lasts, func() {
		h.network.set(affects, faultproxy.Weather{})
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

func (h *Harness) delayLinks(s runningStep) error {
	return h.degradeLinks(s, faultproxy.Weather{Delay: s.Durations[0], Jitter: s.Durations[0]})
}

func (h *Harness) corruptLinks(s runningStep) error {
	return h.degradeLinks(s, faultproxy.Weather{Spoil: 0.05})
}

func (h *Harness) degradeLinks(s runningStep, conditions faultproxy.Weather) error {
	h.network.set(everyLink, conditions)
	h.after(s.lasts, func() { h.network.set(everyLink, faultproxy.Weather{}) })
	return nil
}

func (h *Harness) resetLinks(runningStep) error {
	h.network.reset()
	return nil
}

func (h *Harness) stopEndpointService(s runningStep) error {
	h.endpoints.set(func() { h.endpoints.down = true })
	h.after(s.lasts, func() { h.endpoints.set(func() { h.endpoints.down = false }) })
	return nil
}

func (h *Harness) serveStaleEndpoints(s runningStep) error {
	h.endpoints.set(func() { h.endpoints.stale = true })
	h.after(s.lasts, func() { h.endpoints.set(func() { h.endpoints.stale = false }) })
	return nil
}

func (h *Harness) changeEndpoints(runningStep) error {
	h.endpoints.set(func() { h.endpoints.index++ })
	return nil
}

func (h *Harness) hangServer(s runningStep) error {
	server := h.servers.Members[len(h.servers.Members)-1]
	server.Hang(true)
	h.after(s.lasts, func() {
		server.Hang(false)
		h.logf("-", "the server answers again")
	})
	return nil
}

// transferLease asks the first front that has a leader to transfer a lease.
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

// publish publishes rules. Stages are in thousandths of the fleet, or 1 for one front.
func (h *Harness) publish(s runningStep) error {
	must := false
	var stages []string
	for _, w := range s.Arguments[1:] {
		switch percent, ok := strings.CutSuffix(w, "%"); {
		case w == "must":
			must = true
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
		"watch": {h.Script.LeaseDuration.String()}, "must": {fmt.Sprint(must)}, "shut_out": {"400"}}
	h.requestRollout(s, q, func(version uint64) {
		if publication == "give-up" && must {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.expected.mustVersions = append(h.expected.mustVersions, version)
		}
	})
	return nil
}

func (h *Harness) rollBack(s runningStep) error {
	h.requestRollout(s, url.Values{"do": {"back"}, "why": {"the script"}}, func(uint64) {})
	return nil
}

// requestRollout sends an operator's request to the first front that has a leader, and calls succeeded with the version.
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
				h.logf("-", "%s %s by %s: %s", s.Kind, strings.Join(s.Arguments, " "), f.Name,
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

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func frontNames(fronts []*Front) string {
	var names []string
	for _, f := range fronts {
		names = append(names, f.Name)
	}
	return strings.Join(names, " ")
}
