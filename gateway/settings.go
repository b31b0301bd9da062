package gateway

import (
	"strconv"
	"time"

	"dapplerouter/config"
)

// FormName is the operator's form that makes an instance a gateway:
//
//	(gateway
//	  (here kathmandu)
//	  (peer pokhara
//	    (address "192.0.2.7:7443")        ; where the peer listens; or (listen "0.0.0.0:7443") and the peer dials
//	    (groups 3 4)                      ; that live there
//	    (key "here.key") (certificate "here.crt") (trust "pokhara.crt") ; or (plain loopback)
//	    (heartbeat 200ms) (silence 700ms) (recover 1s) (retain 5s)
//	    (crossings 1024) (credit 1MiB) (kept 4MiB)))
const FormName = "gateway"

// Config is what the form says.
type Config struct {
	LocalSite, PeerSite                 string
	Address, Listen                     string
	Groups                              []int64
	Settings                            Settings
	KeyFile, CertificateFile, TrustFile string // files; all "" where the link is plain
	Position                            config.Position
}

// ReadConfig reads the form; what is wrong with it is noted with its reading.
func ReadConfig(f *config.Form) *Config {
	c := &Config{Settings: DefaultSettings, Position: f.Position}
	forms := f.Forms("here", "peer")
	if h := forms["here"]; h != nil {
		w, _ := h.Value()
		c.LocalSite = w.Name
	} else {
		f.Errorf(f.Position, "(here NAME)", "the gateway does not say where it stands")
	}
	p := forms["peer"]
	if p == nil {
		f.Errorf(f.Position, "(peer NAME (address ...) (groups ...) ...)", "the gateway names no peer")
		return c
	}
	name, ok := p.TakeName()
	if !ok {
		return c
	}
	c.PeerSite = name.Name
	if c.PeerSite == c.LocalSite {
		f.Errorf(name.Position, "the other site's name", "%s is its own peer", c.PeerSite)
	}
	is := p.Forms("address", "listen", "groups", "key", "certificate", "trust", "plain", "heartbeat", "silence", "recover", "retain",
		"crossings", "credit", "kept")
	text := func(name string, to *string) {
		if g := is[name]; g != nil {
			w, _ := g.Value()
			*to = w.Name
		}
	}
	text("address", &c.Address)
	text("listen", &c.Listen)
	text("key", &c.KeyFile)
	text("certificate", &c.CertificateFile)
	text("trust", &c.TrustFile)
	if (c.Address == "") == (c.Listen == "") {
		f.Errorf(p.Position, "(address \"HOST:PORT\") at one site, (listen \"HOST:PORT\") at the other", "one of address and listen belongs here")
	}
	if g := is["groups"]; g != nil {
		for _, w := range g.Atoms() {
			n, err := strconv.ParseInt(w.Name, 10, 64)
			if err != nil {
				f.Errorf(w.Position, "a group is a whole number, as the list has it", "%s is no group", w.Name)
			}
			c.Groups = append(c.Groups, n)
		}
	}
	plain := is["plain"]
	if plain != nil {
		plain.Choice("loopback")
	}
	if all := c.KeyFile != "" && c.CertificateFile != "" && c.TrustFile != ""; all == (plain != nil) || plain != nil && c.KeyFile+c.CertificateFile+c.TrustFile != "" {
		f.Errorf(p.Position, "(key FILE) (certificate FILE) (trust FILE), made by dapplerouter keys; or (plain loopback) for a trial",
			"the link's keys are not all named")
	}
	span := func(name string, to *time.Duration) {
		if g := is[name]; g != nil {
			*to = g.Duration()
		}
	}
	span("heartbeat", &c.Settings.HeartbeatInterval)
	span("silence", &c.Settings.PeerTimeout)
	span("recover", &c.Settings.RecoveryTimeout)
	span("retain", &c.Settings.OutcomeRetention)
	if g := is["credit"]; g != nil {
		c.Settings.CreditBytes = g.Size(MaxDataBytes+frameCost, 1<<30)
	}
	if g := is["kept"]; g != nil {
		c.Settings.RetainedBytes = g.Size(MaxDataBytes, 1<<30)
	}
	if g := is["crossings"]; g != nil {
		w, _ := g.Value()
		n, err := strconv.Atoi(w.Name)
		if err != nil || n < 1 || n > 1<<16 {
			f.Errorf(w.Position, "between 1 and 65536", "%s is no count of crossings", w.Name)
		}
		c.Settings.MaxInFlight = n
	}
	if err := c.Settings.Check(); err != nil {
		f.Errorf(p.Position, "see docs/operate/gateway.md", "the link's times contradict each other: %v", err)
	}
	return c
}
