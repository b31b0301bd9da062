// Package processtest starts several processes of the built program with stand-in members, a list's service and clients on
// loopback, puts a hop on every pair of fronts, breaks what a script says, and reads what all of them told against what must
// always hold. One script and one seed give one course of faults and one verdict. For tests and measurements only.
package processtest

import (
	"fmt"
	"os"
	"strconv"
	"time"

	"dapplerouter/config"
)

// Script is what is to happen:
//
//	(rig (fronts 5) (keepers 3) (members 3) (clients 4) (span 1s) (for 12s)
//	  (at 3s (stop (holder list) 2500ms))
//	  (at 6s (kill n2 1s)))
type Script struct {
	Name             string
	Fronts, Voters   int
	Members, Clients int
	Span, For        time.Duration
	Off              bool          // without the fleet form: what the fleet is compared with
	Ask              bool          // the list's service answers only when it is asked
	Right            time.Duration // versions are published and audited, with rights of this length; 0: not
	Within           time.Duration // by which a version has to be in force everywhere; 0 for no time
	Stop             bool          // fronts that hear nobody stop at the end of their right
	Differ           bool          // fronts of even numbers allow a shorter window than the others
	Steps            []Step
}

// Step is one thing done at a time.
type Step struct {
	At    time.Duration
	What  string
	Who   []Who
	Spans []time.Duration
	Lease string
	Words []string // of a publish
	Place config.Position
}

// Who names a front: by its name, or by what it is when the step comes.
type Who struct {
	Name  string // n1, or holder, giver, follower (neither keeps nor holds), any
	Lease string // of a holder
}

func (w Who) String() string {
	if w.Lease != "" {
		return w.Name + " of " + w.Lease
	}
	return w.Name
}

// texts that are published.
var texts = map[string]string{
	"give-up": "(rules (given-up 1))",
	"window":  "(rules (window book 1500ms))",
	"tight":   "(rules (window book 900ms))",
	"none":    "(rules)",
	"both":    "(rules (window book 1500ms) (given-up 2))",
	"more":    "(rules (window book 900ms) (given-up 2))",
}

// words of a step: how many fronts it names, and how many spans.
var words = map[string]struct {
	fronts, spans int
	help          string
}{
	"stop":       {1, 1, "(stop FRONT FOR): SIGSTOP, and SIGCONT later"},
	"kill":       {1, 1, "(kill FRONT FOR): SIGKILL, and a start later"},
	"end":        {1, 1, "(end FRONT FOR): SIGTERM, and a start later"},
	"cut":        {2, 1, "(cut FRONT FRONT FOR): nothing passes between the two"},
	"one-way":    {2, 1, "(one-way FRONT FRONT FOR): nothing passes from the first to the second"},
	"apart":      {1, 1, "(apart FRONT FOR): nothing passes between it and the others"},
	"deaf":       {1, 1, "(deaf FRONT FOR): it is heard and hears nobody"},
	"mute":       {1, 1, "(mute FRONT FOR): it hears and is not heard"},
	"slow":       {0, 2, "(slow BY FOR): all that passes between fronts comes later, by up to twice as much"},
	"reset":      {0, 0, "(reset): every link between fronts breaks"},
	"spoil":      {0, 1, "(spoil FOR): bytes between fronts are changed now and then"},
	"publish":    {0, 0, "(publish give-up|window|tight|both|more|none [must] [1 50% 100%]): rules are published, by a front that is not alone"},
	"take-back":  {0, 0, "(take-back): the version on its way is taken back by the operator"},
	"torn-audit": {1, 1, "(torn-audit FRONT FOR): it is killed, the last line of its audit cut in half, and started later"},
	"hand":       {0, 0, "(hand DUTY): it is handed on by the operator"},
	"lists":      {0, 1, "(lists FOR): the list's service is away"},
	"older":      {0, 1, "(older FOR): the list's service hands back an older list"},
	"change":     {0, 0, "(change): the list changes"},
	"keep":       {1, 0, "(keep FRONT): a copy of the keeper's file is laid aside"},
	"old-disk":   {1, 1, "(old-disk FRONT FOR): it is killed, and started later from the copy"},
	"torn":       {1, 1, "(torn FRONT FOR): it is killed, its file cut in half, and started later"},
	"leaderless": {0, 0, "(leaderless): it must hold that no front hears a leader"},
	"recover":    {1, 0, "(recover FRONT): the operator recovers the voters from its disk, which must succeed"},
	"no-recover": {1, 0, "(no-recover FRONT): the operator tries to recover the voters from its disk, which must be refused"},
	"hang":       {0, 1, "(hang FOR): a replica takes connections and says nothing"},
	"twin":       {1, 1, "(twin FRONT FOR): a second process of its name runs for a while"},
}

// Load reads a script from a file.
func Load(path string) (*Script, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse reads a script; the error is conf.Faults, each with its place and its remedy.
func Parse(name string, text []byte) (*Script, error) {
	f, err := config.Parse(name, text)
	if err != nil {
		return nil, err
	}
	r := f.NewDecoder()
	s := &Script{Name: name, Fronts: 5, Voters: 3, Members: 3, Clients: 4, Span: time.Second, For: 10 * time.Second}
	form := r.Forms("rig")["rig"]
	if form == nil {
		r.Errorf(config.Position{File: name, Line: 1, Column: 1}, "(rig (fronts 5) ... (at 3s (stop n1 2s)))", "the file has no form rig")
		return nil, r.Err()
	}
	count := func(g *config.Form, to *int, most int) {
		w, ok := g.Value()
		n, err := strconv.Atoi(w.Name)
		if ok && (err != nil || n < 0 || n > most) {
			g.Errorf(w.Position, fmt.Sprintf("a whole number up to %d", most), "%s is no count of %s", w.Name, g.Name)
		}
		*to = n
	}
	for _, g := range form.Subforms() {
		switch g.Name {
		case "fronts":
			count(g, &s.Fronts, 60)
		case "keepers":
			count(g, &s.Voters, 5)
		case "members":
			count(g, &s.Members, 9)
		case "clients":
			count(g, &s.Clients, 200)
		case "span":
			s.Span = g.Duration()
		case "for":
			s.For = g.Duration()
		case "alone":
			s.Off = true
		case "ask":
			s.Ask = true
		case "versions":
			within := false
			for _, w := range g.Atoms() {
				switch d, err := time.ParseDuration(w.Name); {
				case w.Name == "within":
					within = true
				case w.Name == "stop":
					s.Stop = true
				case w.Name == "differ":
					s.Differ = true
				case err != nil || d <= 0:
					g.Errorf(w.Position, "(versions 4s [stop] [differ] [within 9s])", "%s is no right", w.Name)
				case within:
					s.Within, within = d, false
				default:
					s.Right = d
				}
			}
		case "at":
			w, ok := g.TakeName()
			if !ok {
				continue
			}
			at, err := time.ParseDuration(w.Name)
			if err != nil || at < 0 {
				g.Errorf(w.Position, "a time as in 3s or 250ms", "%s is no time", w.Name)
			}
			for _, x := range g.Subforms() {
				s.Steps = append(s.Steps, s.step(x, at))
			}
		default:
			g.Errorf(g.Position, "known are fronts, keepers, members, clients, span, for, alone, ask, versions, at", "a rig has no %s", g.Name)
		}
	}
	if s.Voters > s.Fronts || s.Voters%2 == 0 {
		form.Errorf(form.Position, "(keepers 3), and as many (fronts ...) at least", "%d keepers of %d fronts", s.Voters, s.Fronts)
	}
	return s, r.Err()
}

func (s *Script) step(x *config.Form, at time.Duration) Step {
	st := Step{At: at, What: x.Name, Place: x.Position}
	known, ok := words[x.Name]
	if !ok {
		names := ""
		for _, n := range sorted(words) {
			names += " " + n
		}
		x.Errorf(x.Position, "known are"+names, "nothing is called %s", x.Name)
		return st
	}
	if x.Name == "publish" {
		for _, w := range x.Atoms() {
			st.Words = append(st.Words, w.Name)
		}
		if len(st.Words) == 0 || texts[st.Words[0]] == "" || s.Right == 0 {
			x.Errorf(x.Position, known.help+"; and (versions 4s) before it", "publish is not whole")
		}
		return st
	}
	if known.fronts+known.spans == 0 && x.Name != "hand" {
		return st
	}
	for _, w := range x.Atoms() {
		switch {
		case len(st.Who) < known.fronts:
			st.Who = append(st.Who, s.who(x, w))
		case x.Name == "hand" && st.Lease == "":
			st.Lease = w.Name
		default:
			d, err := time.ParseDuration(w.Name)
			if err != nil || d <= 0 {
				x.Errorf(w.Position, known.help, "%s is no time", w.Name)
			}
			st.Spans = append(st.Spans, d)
		}
	}
	if len(st.Who) != known.fronts || len(st.Spans) != known.spans || x.Name == "hand" && st.Lease == "" {
		x.Errorf(x.Position, known.help, "%s is not whole", x.Name)
	}
	return st
}

// who reads a front's name: n1, holder:list, giver, follower, any.
func (s *Script) who(x *config.Form, w config.Atom) Who {
	for i := range s.Fronts {
		if w.Name == frontName(i) {
			return Who{Name: w.Name}
		}
	}
	switch {
	case w.Name == "giver" || w.Name == "follower" || w.Name == "new" || w.Name == "any" || w.Name == "keeper":
		return Who{Name: w.Name}
	case len(w.Name) > 7 && w.Name[:7] == "holder:":
		return Who{Name: "holder", Lease: w.Name[7:]}
	}
	x.Errorf(w.Position, "n1 to n"+strconv.Itoa(s.Fronts)+", holder:DUTY, giver, keeper, follower, new (on the newest version) or any", "%s is no front", w.Name)
	return Who{Name: "any"}
}

func frontName(i int) string { return "n" + strconv.Itoa(i+1) }
