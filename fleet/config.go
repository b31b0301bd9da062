package fleet

import (
	"log/slog"
	"strings"
	"time"

	"dapplerouter/config"
)

// FormName is the operator's form that makes a front one of a fleet:
//
//	(fleet
//	  (id "6f0c2a...")                    ; the same at all fronts; made once by dapplerouter fleet id new
//	  (listen "10.0.0.4:7500")            ; for the others
//	  (address "10.0.0.4:7500")           ; where they reach it; what it listens at where left out
//	  (voters (n1 "10.0.0.1:7500") (n2 "10.0.0.2:7500") (n3 "10.0.0.3:7500")) ; the initial ones
//	  (voter "/var/lib/dapplerouter/fleet.db")   ; its file, where this front is a voter; (joins) beside it for one that is added later
//	  (lease-duration 3s)                 ; for which a lease is held without renewal; the same at all fronts
//	  (leases take)                       ; or none: this front takes no leases
//	  (key "n4.key") (certificate "n4.crt") (trust "root.crt")   ; or (plain loopback)
//	  (control "/run/dapplerouter/n4.sock")      ; for dapplerouter fleet; nobody listens where left out
//	  (history "/var/log/dapplerouter/n4.jsonl") ; what happened, a line of JSON each
//	  (reach (n2 "127.0.0.1:9002")))      ; addresses of others, in place of those that they report
const FormName = "fleet"

// Config is the contents of the form.
type Config struct {
	ID, Listen, Address     string // Listen and Address are HOST:PORT
	InitialVoters           []Voter
	VoterPath               string // of the voter's file; "" for a follower
	JoinsExistingFleet      bool   // a voter that was added later
	LeaseDuration           time.Duration
	AcceptsLeases           bool
	Key, Certificate, Trust string            // paths; "" for a mesh without keys
	Control, History        string            // paths of the control socket and the history file; "" for none
	AddressOverrides        map[string]string // by front: where it is reached, in place of the address that it reports
	Place                   config.Position
}

// Bounds of the lease duration: under the minimum, pauses of a loaded machine would cost leases; over the maximum, a failed
// leaseholder would be missed for too long.
const (
	minLeaseDuration = 300 * time.Millisecond
	maxLeaseDuration = 5 * time.Minute
)

// ReadConfig reads the form. Errors are recorded with the form, each with its position and remedy.
func ReadConfig(f *config.Form) *Config {
	c := &Config{LeaseDuration: DefaultLeaseDuration, AcceptsLeases: true, AddressOverrides: map[string]string{}, Place: f.Position}
	forms := f.Forms("id", "listen", "address", "voters", "voter", "joins", "lease-duration", "leases", "key", "certificate", "trust", "plain",
		"control", "history", "reach", "keepers", "keeper", "span", "duties")
	readDeprecated(f, forms)
	c.readTexts(f, forms)
	c.readVoters(f, forms)
	c.readLeases(f, forms)
	c.readKeys(f, forms)
	if reach := forms["reach"]; reach != nil {
		for _, g := range reach.Subforms() {
			address, _ := g.Value()
			c.AddressOverrides[g.Name] = address.Name
		}
	}
	return c
}

// deprecatedForms are forms by their names of earlier versions, which this version still reads.
var deprecatedForms = []struct{ name, replacement string }{
	{"keepers", "voters"},
	{"keeper", "voter"},
	{"span", "lease-duration"},
	{"duties", "leases"},
}

// readDeprecated takes deprecated forms for their replacements, and logs one warning that names all of them.
func readDeprecated(f *config.Form, forms map[string]*config.Form) {
	var found, replacements []string
	for _, d := range deprecatedForms {
		deprecated := forms[d.name]
		if deprecated == nil {
			continue
		}
		if forms[d.replacement] != nil {
			f.Errorf(deprecated.Position, "keep ("+d.replacement+" ...)", "%s is the deprecated name of %s, which stands beside it", d.name, d.replacement)
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

// readTexts reads what is a single text each.
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
	for name, to := range texts {
		if g := forms[name]; g != nil {
			text, _ := g.Value()
			*to = text.Name
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

// readVoters reads the initial voters, and whether this front is one that joins.
func (c *Config) readVoters(f *config.Form, forms map[string]*config.Form) {
	place := f.Position
	named := map[string]bool{}
	if voters := forms["voters"]; voters != nil {
		place = voters.Position
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
		f.Errorf(place, "name three, or five: (voters (n1 \"HOST:PORT\") ...); one for a trial", "the number of voters is %d", n)
	}
	if joins := forms["joins"]; joins != nil {
		c.JoinsExistingFleet = true
		if c.VoterPath == "" {
			f.Errorf(joins.Position, "(voter \"FILE\") beside it", "joins is for a voter")
		}
	}
}

// readLeases reads the lease duration, and whether this front takes leases.
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

// readKeys checks that the mesh has all its keys, or none on loopback.
func (c *Config) readKeys(f *config.Form, forms map[string]*config.Form) {
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

func onLoopback(address string) bool {
	return strings.HasPrefix(address, "127.") || strings.HasPrefix(address, "[::1]") || strings.HasPrefix(address, "localhost")
}

// CheckName checks the form against the front's own name.
func (c *Config) CheckName(name string) error {
	is := false
	for _, k := range c.InitialVoters {
		is = is || k.Name == name
	}
	switch {
	case is && c.VoterPath == "":
		return config.ErrorList{{Position: c.Place, Message: name + " is named as a voter and has no file", Remedy: "(voter \"FILE\")"}}
	case !is && c.VoterPath != "" && !c.JoinsExistingFleet:
		return config.ErrorList{{Position: c.Place, Message: name + " has a voter's file and is not among the voters",
			Remedy: "name it there, or add (joins) for a voter that joins an existing fleet"}}
	}
	return nil
}
