package gateway

import (
	"strconv"
	"time"

	"dapplerouter/config"
)

// FormName is the name of the form in the operator's file that makes an instance a gateway:
//
//	(gateway
//	  (here kathmandu)
//	  (peer pokhara
//	    (address "192.0.2.7:7443")        ; address of the peer; or (listen "0.0.0.0:7443") if the peer dials
//	    (groups 3 4)                      ; groups whose servers are at the peer site
//	    (key "here.key") (certificate "here.crt") (trust "pokhara.crt") ; or (plain loopback)
//	    (heartbeat 200ms) (silence 700ms) (recover 1s) (retain 5s)
//	    (crossings 1024) (credit 1MiB) (kept 4MiB)))
const FormName = "gateway"

// Config is the content of the gateway form.
type Config struct {
	LocalSite, PeerSite                 string
	Address, Listen                     string // exactly one of them is set
	Groups                              []int64
	Settings                            Settings
	KeyFile, CertificateFile, TrustFile string // all "" if the link has no TLS (plain)
	Position                            config.Position
}

// ReadConfig reads the gateway form. Errors are reported to the form's decoder.
func ReadConfig(f *config.Form) *Config {
	c := &Config{Settings: DefaultSettings, Position: f.Position}
	forms := f.Forms("here", "peer")
	if here := forms["here"]; here != nil {
		v, _ := here.Value()
		c.LocalSite = v.Name
	} else {
		f.Errorf(f.Position, "(here NAME)", "the gateway form does not name its own site")
	}
	if peer := forms["peer"]; peer != nil {
		c.readPeer(peer)
	} else {
		f.Errorf(f.Position, "(peer NAME (address ...) (groups ...) ...)", "the gateway form does not name the peer site")
	}
	return c
}

// readPeer reads the subform peer.
func (c *Config) readPeer(peer *config.Form) {
	name, ok := peer.TakeName()
	if !ok {
		return
	}
	c.PeerSite = name.Name
	if c.PeerSite == c.LocalSite {
		peer.Errorf(name.Position, "the other site's name", "the peer site %s is this site itself", c.PeerSite)
	}
	forms := peer.Forms("address", "listen", "groups", "key", "certificate", "trust", "plain", "heartbeat", "silence", "recover", "retain",
		"crossings", "credit", "kept")
	readText(forms["address"], &c.Address)
	readText(forms["listen"], &c.Listen)
	readText(forms["key"], &c.KeyFile)
	readText(forms["certificate"], &c.CertificateFile)
	readText(forms["trust"], &c.TrustFile)
	if (c.Address == "") == (c.Listen == "") {
		peer.Errorf(peer.Position, "(address \"HOST:PORT\") at one site, (listen \"HOST:PORT\") at the other",
			"the peer form needs exactly one of address and listen")
	}
	c.readGroups(forms["groups"])
	c.checkKeys(peer, forms["plain"])
	c.Settings.read(forms)
	if err := c.Settings.Check(); err != nil {
		peer.Errorf(peer.Position, "see docs/operate/gateway.md", "the settings of the link contradict each other: %v", err)
	}
}

// readGroups reads the group numbers of the subform groups.
func (c *Config) readGroups(f *config.Form) {
	if f == nil {
		return
	}
	for _, a := range f.Atoms() {
		group, err := strconv.ParseInt(a.Name, 10, 64)
		if err != nil {
			f.Errorf(a.Position, "a group is a whole number, as in the endpoint list", "%s is not a group number", a.Name)
		}
		c.Groups = append(c.Groups, group)
	}
}

// checkKeys reports an error unless the peer form has either all key files or (plain loopback).
func (c *Config) checkKeys(peer, plainForm *config.Form) {
	plain := plainForm != nil
	if plain {
		plainForm.Choice("loopback")
	}
	all := c.KeyFile != "" && c.CertificateFile != "" && c.TrustFile != ""
	none := c.KeyFile == "" && c.CertificateFile == "" && c.TrustFile == ""
	if plain && !none || !plain && !all {
		peer.Errorf(peer.Position, "(key FILE) (certificate FILE) (trust FILE), made by dapplerouter keys; or (plain loopback) for a trial",
			"the link needs key, certificate and trust, or plain")
	}
}

// read reads the settings from those of the peer form's subforms that are present. The other settings keep their values.
func (s *Settings) read(forms map[string]*config.Form) {
	readDuration(forms["heartbeat"], &s.HeartbeatInterval)
	readDuration(forms["silence"], &s.PeerTimeout)
	readDuration(forms["recover"], &s.RecoveryTimeout)
	readDuration(forms["retain"], &s.OutcomeRetention)
	if f := forms["credit"]; f != nil {
		s.CreditBytes = f.Size(MaxDataBytes+frameOverhead, 1<<30)
	}
	if f := forms["kept"]; f != nil {
		s.MaxRetainedBytes = f.Size(MaxDataBytes, 1<<30)
	}
	if f := forms["crossings"]; f != nil {
		v, _ := f.Value()
		n, err := strconv.Atoi(v.Name)
		if err != nil || n < 1 || n > 1<<16 {
			f.Errorf(v.Position, "between 1 and 65536", "%s is not a valid number of crossings", v.Name)
		}
		s.MaxInFlight = n
	}
}

// readText stores the value that a subform of the peer form, such as (address "192.0.2.7:7443"), contains in to. f is nil if the peer
// form lacks the subform; to then keeps its value.
func readText(f *config.Form, to *string) {
	if f != nil {
		v, _ := f.Value()
		*to = v.Name
	}
}

// readDuration stores the duration that a subform of the peer form, such as (heartbeat 200ms), contains in to. f is nil if the peer form
// lacks the subform; to then keeps its default.
func readDuration(f *config.Form, to *time.Duration) {
	if f != nil {
		*to = f.Duration()
	}
}
