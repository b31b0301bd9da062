package processtest

import (
	"cmp"
	"fmt"
	"maps"
	"net/url"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"dapplerouter/adminapi"
	"dapplerouter/testsupport/faultproxy"
)

// What the lines of a script do.

// pick finds the front that a step names, nil for none just now.
func (r *Rig) pick(w Who) *Front {
	up := func(f *Front) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.cmd != nil && !f.stopped && f.lives[len(f.lives)-1].to.IsZero()
	}
	var fit []*Front
	holders, leader := map[string]bool{}, ""
	for _, f := range r.fronts {
		if !up(f) {
			continue
		}
		s, err := f.seen()
		if err != nil {
			continue
		}
		for _, d := range s.Leases {
			if d.Left > 0 {
				holders[f.Name] = true
				if w.Name == "holder" && d.Lease == w.Lease {
					return f
				}
			}
		}
		leader = s.Leader
	}
	newest := map[string]bool{}
	if w.Name == "new" {
		for _, f := range r.fronts {
			if s, err := f.rolls(); err == nil && up(f) && s.Next != 0 && s.ActiveVersion == s.Next {
				newest[f.Name] = true
			}
		}
	}
	for _, f := range r.fronts {
		switch {
		case f.Name == w.Name:
			return f
		case !up(f):
		case w.Name == "giver" && f.Name == leader, w.Name == "any", w.Name == "new" && newest[f.Name], w.Name == "keeper" && f.voter,
			w.Name == "follower" && !f.voter && !holders[f.Name]:
			fit = append(fit, f)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return fit[r.rnd.IntN(len(fit))]
}

func (r *Rig) after(d time.Duration, call func()) {
	r.later.Go(func() {
		time.Sleep(d)
		call()
	})
}

// do carries a step out.
func (r *Rig) do(st Step) error {
	var who []*Front
	for _, w := range st.Who {
		var f *Front
		for end := time.Now().Add(2 * r.Script.Span); f == nil && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			f = r.pick(w)
		}
		if f == nil {
			r.say("-", "%s: no front is %s", st.What, w)
			return nil
		}
		who = append(who, f)
	}
	span := time.Duration(0)
	if len(st.Spans) > 0 {
		span = st.Spans[len(st.Spans)-1]
	}
	ways := func(pass func(a, b int) bool, to faultproxy.Weather) {
		for k, h := range r.hops {
			if pass(k[0], k[1]) {
				h.Set(faultproxy.Out, to)
			}
			if pass(k[1], k[0]) {
				h.Set(faultproxy.Back, to)
			}
		}
	}
	cut := func(pass func(a, b int) bool) {
		ways(pass, faultproxy.Weather{Stall: true})
		r.after(span, func() { ways(pass, faultproxy.Weather{}); r.say("-", "%s of %s is over", st.What, names(who)) })
	}
	if len(who) > 0 {
		r.say(who[0].Name, "%s %s for %v", st.What, names(who), span)
	} else {
		r.say("-", "%s %s %v", st.What, cmp.Or(st.Lease, strings.Join(st.Words, " ")), st.Spans)
	}
	switch st.What {
	case "stop":
		f := who[0]
		f.signal(syscall.SIGSTOP)
		f.mu.Lock()
		f.stopped = true
		f.gaps = append(f.gaps, life{from: time.Now()})
		f.mu.Unlock()
		r.after(span, func() {
			f.mu.Lock()
			f.stopped = false
			f.gaps[len(f.gaps)-1].to = time.Now()
			f.mu.Unlock()
			f.signal(syscall.SIGCONT)
			r.say(f.Name, "goes on")
		})
	case "kill", "end", "old-disk", "torn", "torn-audit":
		f := who[0]
		if st.What == "torn" {
			r.mustHalt = append(r.mustHalt, f.Name)
		}
		if st.What == "end" {
			f.signal(syscall.SIGTERM)
		} else {
			f.signal(syscall.SIGKILL)
		}
		<-f.ended
		if st.What == "torn" {
			if whole, err := os.ReadFile(f.disk()); err == nil {
				os.WriteFile(f.disk(), whole[:len(whole)/4], 0o600)
			}
		}
		if st.What == "torn-audit" {
			r.tearAudit(f)
		}
		if st.What == "old-disk" {
			if err := r.restoreOldDisk(f); err != nil {
				return err
			}
		}
		r.after(span, func() {
			r.say(f.Name, "starts again")
			if err := r.start(f); err != nil {
				r.say(f.Name, "does not start: %v", err)
			}
			if st.What == "torn" { // it can't: an operator starts it as a follower, under the same name
				select {
				case <-f.ended:
				case <-time.After(5 * time.Second):
					r.say(f.Name, "took its torn file")
					return
				}
				r.say(f.Name, "refuses its torn file, which is moved away")
				os.Rename(f.disk(), f.disk()+".torn")
				r.start(f)
			}
		})
	case "keep":
		return copyFile(who[0].disk(), who[0].disk()+".old")
	case "cut", "one-way":
		a, b := who[0].i, who[1].i
		cut(func(x, y int) bool { return x == a && y == b || st.What == "cut" && x == b && y == a })
	case "apart", "deaf", "mute":
		a := who[0].i
		cut(func(x, y int) bool { return x == a && st.What != "deaf" || y == a && st.What != "mute" })
	case "slow":
		all := func(int, int) bool { return true }
		ways(all, faultproxy.Weather{Delay: st.Spans[0], Jitter: st.Spans[0]})
		r.after(span, func() { ways(all, faultproxy.Weather{}) })
	case "spoil":
		all := func(int, int) bool { return true }
		ways(all, faultproxy.Weather{Spoil: 0.05})
		r.after(span, func() { ways(all, faultproxy.Weather{}) })
	case "reset":
		for _, k := range slices.SortedFunc(maps.Keys(r.hops), func(a, b [2]int) int { return cmp.Or(a[0]-b[0], a[1]-b[1]) }) {
			r.hops[k].Break()
		}
	case "hand":
		for _, f := range r.fronts {
			if s, err := f.seen(); err == nil && !s.Alone {
				r.later.Go(func() {
					var out map[string]bool
					err := adminapi.Call(f.socket(), "POST", "/v1/fleet/transfer", url.Values{"lease": {st.Lease}}, &out)
					r.say("-", "hand %s by %s: %s", st.Lease, f.Name, cmp.Or(errText(err), "done"))
				})
				return nil
			}
		}
	case "publish", "take-back":
		r.publish(st)
	case "leaderless":
		r.expectLeaderless()
	case "recover":
		r.recoverVoters(who[0], true)
	case "no-recover":
		r.recoverVoters(who[0], false)
	case "lists":
		r.lists.set(func() { r.lists.away = true })
		r.after(span, func() { r.lists.set(func() { r.lists.away = false }) })
	case "older":
		r.lists.set(func() { r.lists.older = true })
		r.after(span, func() { r.lists.set(func() { r.lists.older = false }) })
	case "change":
		r.lists.set(func() { r.lists.index++ })
	case "hang":
		m := r.group.Members[len(r.group.Members)-1]
		m.Hang(true)
		r.after(span, func() { m.Hang(false); r.say("-", "the member answers again") })
	case "twin":
		twin := who[0]
		two, err := r.ports(2)
		if err != nil {
			return err
		}
		f := &Front{Name: twin.Name, i: twin.i, clients: two[0], mesh: two[1], dir: twin.dir + "-twin"}
		if err := r.write(f); err != nil {
			return err
		}
		if err := r.launch(f, []string{"EDGE_LISTEN=" + f.clients}); err != nil {
			return err
		}
		r.after(span, func() {
			f.signal(syscall.SIGKILL)
			<-f.ended
			who[0].signal(syscall.SIGTERM) // the operator ends the other too, and starts it again
			<-who[0].ended
			r.start(who[0])
		})
	}
	return nil
}

// publish brings an operator's wish to a front that is not alone.
func (r *Rig) publish(st Step) {
	q := url.Values{"do": {"back"}, "why": {"the script"}}
	must := false
	if st.What == "publish" {
		var waves []string
		for _, w := range st.Words[1:] {
			switch p, ok := strings.CutSuffix(w, "%"); {
			case w == "must":
				must = true
			case ok:
				waves = append(waves, p+"0")
			default:
				waves = append(waves, w)
			}
		}
		if waves == nil {
			waves = []string{"1", "500", "1000"}
		}
		q = url.Values{"do": {"publish"}, "text": {texts[st.Words[0]]}, "waves": {strings.Join(waves, ",")}, "watch": {r.Script.Span.String()},
			"must": {fmt.Sprint(must)}, "shut_out": {"400"}}
	}
	r.later.Go(func() {
		for range 20 {
			for _, f := range r.fronts {
				s, err := f.seen()
				if err != nil || s.Alone {
					continue
				}
				var out struct{ Version uint64 }
				err = adminapi.Call(f.socket(), "POST", "/v1/fleet/roll", q, &out)
				r.say("-", "%s %s by %s: %s", st.What, strings.Join(st.Words, " "), f.Name, cmp.Or(errText(err), fmt.Sprintf("done, version %d", out.Version)))
				if err == nil && st.What == "publish" && st.Words[0] == "give-up" && must {
					r.said.Lock()
					r.mustBy = append(r.mustBy, out.Version)
					r.said.Unlock()
				}
				return
			}
			time.Sleep(r.Script.Span / 4)
		}
	})
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func names(fs []*Front) string {
	var all []string
	for _, f := range fs {
		all = append(all, f.Name)
	}
	return strings.Join(all, " ")
}
