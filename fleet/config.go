package fleet

import (
	"log/slog"
	"strings"
	"time"

	"dapplerouter/config"
)

// FormName is the name of the form in the operator's file that makes a front a member of a fleet:
//
//	(fleet
//	  (id "6f0c2a...")                    ; the same at all fronts; created once with dapplerouter fleet id new
//	  (listen "10.0.0.4:7500")            ; where this front listens for other fronts
//	  (address "10.0.0.4:7500")           ; where other fronts reach this front; the default is the listen address
//	  (voters (n1 "10.0.0.1:7500") (n2 "10.0.0.2:7500") (n3 "10.0.0.3:7500")) ; the initial voters
//	  (voter "/var/lib/dapplerouter/fleet.db")   ; the file of a voter; with (joins) beside it for a voter that is added later
//	  (lease-duration 3s)                 ; how long a lease is held without renewal; the same at all fronts
//	  (leases take)                       ; or none: this front accepts no leases
//	  (key "n4.key") (certificate "n4.crt") (trust "root.crt")   ; or (plain loopback)
//	  (control "/run/dapplerouter/n4.sock")      ; the socket for dapplerouter fleet; there is none without this form
//	  (history "/var/log/dapplerouter/n4.jsonl") ; the history file, with one event as JSON on each line
//	  (reach (n2 "127.0.0.1:9002")))      ; addresses of other fronts, in place of those that they report
const FormName = "fleet"

// Config is the configuration that the form named FormName sets.
type Config struct {
	ID, Listen, Address     string // Listen and Address are HOST:PORT
	InitialVoters           []Voter
	VoterPath               string // the path of the voter's file; "" for a follower
	JoinsExistingFleet      bool   // this voter is added to a fleet that exists
	LeaseDuration           time.Duration
	AcceptsLeases           bool
	Key, Certificate, Trust string            // the paths of the TLS files; "" for a mesh without TLS
	Control, History        string            // the paths of the control socket and the history file; "" for none
	AddressOverrides        map[string]string // by front: an address to use in place of the one that the front reports
	Position                config.Position   // the position of the form in its file
}

// Limits of the lease duration. With a shorter one, pauses of a loaded machine would cause leases to expire. With a longer one, it
// would take too long to replace a failed leaseholder.
const (
	minLeaseDuration = 300 * time.Millisecond
	maxLeaseDuration = 5 * time.Minute
)

// ReadConfig reads the form. It records errors with the form's decoder, each with its position and its remedy.
func ReadConfig(f *config.Form) *Config {
	c := &Config{LeaseDuration: DefaultLeaseDuration, AcceptsLeases: true, AddressOverrides: map[string]string{}, Position: f.Position}
	forms := f.Forms("id", "listen", "address", "voters", "voter", "joins", "lease-duration", "leases", "key", "certificate", "trust", "plain",
		"control", "history", "reach", "keepers", "keeper", "span", "duties")
	readDeprecated(f, forms)
	c.readTexts(f, forms)
	c.readVoters(f, forms)
	c.readLeases(f, forms)
	c.checkTLSFiles(f, forms)
	if reach := forms["reach"]; reach != nil {
		for _, g := range reach.Subforms() {
			address, _ := g.Value()
			c.AddressOverrides[g.Name] = address.Name
		}
	}
	return c
}

// deprecatedForms lists the names that subforms had in earlier versions, which this version still reads, with their present names.
var deprecatedForms = []struct{ name, replacement string }{
	{"keepers", "voters"},
	{"keeper", "voter"},
	{"span", "lease-duration"},
	{"duties", "leases"},
}

// readDeprecated stores deprecated subforms in forms under their present names, and logs one warning that names all of them.
func readDeprecated(f *config.Form, forms map[string]*config.Form) {
	var found, replacements []string
	for _, d := range deprecatedForms {
		deprecated := forms[d.name]
		if deprecated == nil {
			continue
		}
		if forms[d.replacement] != nil {
			f.Errorf(deprecated.Position, "keep ("+d.replacement+" ...)", "%s is the deprecated name of %s, which is also present", d.name, d.replacement)
			continue
		}
		forms[d.replacement] = deprecated
		found, replacements = append(found, d.name), append(replacements, d.replacement)
	}
	if len(found) > 0 {
		slog.Warn("deprecated forms in the operator's file: the next version does not read them", "file", f.File, "line", f.Line,
			"forms", strings.Join(found, " "), "use", strings.Join(replacements, " "))
	}
}

// readTexts reads the subforms that consist of a single text. It requires an id and a listen address.
func (c *Config) readTexts(f *config.Form, forms map[string]*config.Form) {
	texts := map[string]*string{
		"id":          &c.ID,
		"listen":      &c.Listen,
		"address":     &c.Address,
		"voter":       &c.VoterPath,
		"key":         &c.Key,
		"certificate": &c.Certificate,
		"trust":       &c.Trust,
		"control":     &c.Control,
		"history":     &c.History,
	}
	for name, field := range texts {
		if g := forms[name]; g != nil {
			text, _ := g.Value()
			*field = text.Name
		}
	}
	if c.ID == "" {
		f.Errorf(f.Position, "(id \"...\") as dapplerouter fleet id new gives it, the same at all fronts", "the fleet has no id")
	}
	if c.Listen == "" {
		f.Errorf(f.Position, "(listen \"HOST:PORT\")", "the front does not say where it listens for the others")
	}
	if c.Address == "" {
		c.Address = c.Listen
	}
}

// readVoters reads the initial voters, and whether this front is a voter that joins an existing fleet.
func (c *Config) readVoters(f *config.Form, forms map[string]*config.Form) {
	position := f.Position
	named := map[string]bool{}
	if voters := forms["voters"]; voters != nil {
		position = voters.Position
		for _, g := range voters.Subforms() {
			address, _ := g.Value()
			if named[g.Name] {
				f.Errorf(g.Position, "keep one of the two", "voter %s is named twice", g.Name)
			}
			named[g.Name] = true
			c.InitialVoters = append(c.InitialVoters, Voter{g.Name, address.Name})
		}
	}
	if n := len(c.InitialVoters); n != 1 && n != 3 && n != 5 {
		f.Errorf(position, "name three, or five: (voters (n1 \"HOST:PORT\") ...); one for a trial", "the number of voters is %d", n)
	}
	if joins := forms["joins"]; joins != nil {
		c.JoinsExistingFleet = true
		if c.VoterPath == "" {
			f.Errorf(joins.Position, "(voter \"FILE\") beside it", "joins is for a voter")
		}
	}
}

// readLeases reads the lease duration, and whether this front accepts leases.
func (c *Config) readLeases(f *config.Form, forms map[string]*config.Form) {
	if duration := forms["lease-duration"]; duration != nil {
		c.LeaseDuration = duration.Duration()
		if c.LeaseDuration != 0 && (c.LeaseDuration < minLeaseDuration || c.LeaseDuration > maxLeaseDuration) {
			f.Errorf(duration.Position, "between 300ms and 5m; 3s is usual", "a lease duration of %v is out of range", c.LeaseDuration)
		}
	}
	if leases := forms["leases"]; leases != nil {
		c.AcceptsLeases = leases.Choice("take", "none") != "none"
	}
}

// checkTLSFiles checks that the form names either all TLS files, or none of them and plain loopback.
func (c *Config) checkTLSFiles(f *config.Form, forms map[string]*config.Form) {
	plain := forms["plain"]
	if plain != nil {
		plain.Choice("loopback")
		if c.Listen != "" && !onLoopback(c.Listen) {
			f.Errorf(plain.Position, "(key FILE) (certificate FILE) (trust FILE), made by dapplerouter keys",
				"a mesh without keys is for loopback only")
		}
	}
	allKeys := c.Key != "" && c.Certificate != "" && c.Trust != ""
	anyKey := c.Key+c.Certificate+c.Trust != ""
	if allKeys == (plain != nil) || plain != nil && anyKey {
		f.Errorf(f.Position, "(key FILE) (certificate FILE) (trust FILE), made by dapplerouter keys; or (plain loopback) for a trial",
			"the mesh's keys are not all named")
	}
}

// onLoopback reports whether the address is on the loopback interface.
func onLoopback(address string) bool {
	return strings.HasPrefix(address, "127.") || strings.HasPrefix(address, "[::1]") || strings.HasPrefix(address, "localhost")
}

// CheckName checks the configuration against the front's own name: an initial voter needs a voter's file, and any other front
// may only have one if it joins an existing fleet.
func (c *Config) CheckName(name string) error {
	isInitialVoter := false
	for _, v := range c.InitialVoters {
		isInitialVoter = isInitialVoter || v.Name == name
	}
	switch {
	case isInitialVoter && c.VoterPath == "":
		return config.ErrorList{{Position: c.Position, Message: name + " is named as a voter and has no file", Remedy: "(voter \"FILE\")"}}
	case !isInitialVoter && c.VoterPath != "" && !c.JoinsExistingFleet:
		return config.ErrorList{{Position: c.Position, Message: name + " has a voter's file and is not among the voters",
			Remedy: "name it there, or add (joins) for a voter that joins an existing fleet"}}
	}
	return nil
}
