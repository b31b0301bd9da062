package front

import (
	"log/slog"
	"slices"
	"time"

	"dapplerouter/deployment"
	"dapplerouter/routing"
)

// configVersion is a published version of the configuration: request types with their bounds, and the groups whose requests are
// rejected. It never changes. A request keeps the version under which it was accepted.
type configVersion struct {
	number         uint64
	types          []routing.RequestType
	rejectedGroups map[int64]struct{}
	lease          *ConfigLease // to act on the version; nil where none is needed
}

// versions are the configuration versions on which the front acts: the current one for new requests, and older ones until the last
// request under them is finished or their lease expires.
type versions struct {
	current         *configVersion
	older           []*configVersion // under which a request is not finished
	olderUnfinished int              // requests that are not finished, under older versions
	onOlderFinished func()           // called once, when there is none
	standby         bool             // the lease of the current version has expired: no request is accepted
}

// all are the versions on which the front acts, the current one last.
func (v *versions) all() []*configVersion { return append(slices.Clip(v.older), v.current) }

// adopt makes a version the current one while so many requests are not finished.
func (v *versions) adopt(next *configVersion, unfinished int, onOlderFinished func()) {
	if unfinished > v.olderUnfinished { // some are under the version that was current
		v.older = append(v.older, v.current)
	}
	v.current = next
	v.olderUnfinished, v.onOlderFinished = unfinished, onOlderFinished
}

// requestFinished notes that a request that was accepted under a version is finished.
func (v *versions) requestFinished(under *configVersion) {
	if under != v.current {
		v.olderUnfinished--
		v.dropOlder()
	}
}

// dropOlder forgets the older versions once no request is under them, and says so once.
func (v *versions) dropOlder() {
	if v.olderUnfinished != 0 {
		return
	}
	v.older = nil
	if call := v.onOlderFinished; call != nil {
		v.onOlderFinished = nil
		call()
	}
}

// ConfigVersion is the number of the current version. It is for hosts that step the core themselves; elsewhere AdoptConfig.OnAdopted
// reports the change.
func (c *Core) ConfigVersion() uint64 { return c.versions.current.number }

// Standby reports whether the core accepts no requests since its lease has expired. It is for hosts that step the core themselves.
func (c *Core) Standby() bool { return c.versions.standby }

// ActiveVersions are the versions on which an attempt may begin at this moment. It is for hosts that step the core themselves.
func (c *Core) ActiveVersions() (active []uint64) {
	for _, v := range c.versions.all() {
		if v.lease == nil || v.lease.holds() {
			active = append(active, v.number)
		}
	}
	return active
}

// AdoptConfig is the event that makes a version the current one: requests that come from now on are accepted under it, the others
// keep theirs. Both calls are made by the core's goroutine.
type AdoptConfig struct {
	Version         uint64
	Rules           *deployment.Rules // validated against the deployment settings; nil for none
	LeaseExpiry     time.Duration     // of the lease to act on it, where one is needed
	OnAdopted       func(at time.Duration)
	OnOlderFinished func() // once no request under another version is left: from then on the front acts on this one alone
}

func (e AdoptConfig) apply(c *Core, now time.Duration) {
	v := &configVersion{number: e.Version, types: c.catalog.types, rejectedGroups: map[int64]struct{}{}, lease: c.newLease()}
	if e.Rules != nil {
		v.types = c.restrictedTypes(e.Rules)
		for _, group := range e.Rules.RejectedGroups {
			v.rejectedGroups[group] = struct{}{}
		}
	}
	c.versions.adopt(v, c.requests.unfinished, e.OnOlderFinished)
	if c.fleet.Auditor != nil {
		c.fleet.Auditor.ConfigAdopted(now, e.Version)
	}
	slog.Info("configuration version adopted", "version", e.Version, "rejected_groups", len(v.rejectedGroups))
	if e.OnAdopted != nil {
		e.OnAdopted(now)
	}
	if v.lease != nil {
		c.renewLease(now, v, e.LeaseExpiry)
		if e.LeaseExpiry <= now && !c.versions.standby {
			c.expireLeases(now)
		}
	}
	c.versions.dropOlder()
}

// restrictedTypes are the request types under the rules of a version, which may only be stricter than the deployment's.
func (c *Core) restrictedTypes(rules *deployment.Rules) []routing.RequestType {
	types := slices.Clone(c.catalog.types)
	restrict := func(name string, set func(*routing.RequestType)) {
		i, ok := c.catalog.typeNames.Lookup(name)
		if !ok {
			return
		}
		set(&types[i])
		if c.classifier != nil && c.classifier.writeTypes[i] != i {
			set(&types[c.classifier.writeTypes[i]])
		}
	}
	for name, limit := range rules.MaxStaleness {
		restrict(name, func(t *routing.RequestType) { t.MaxStaleness = min(t.MaxStaleness, limit) })
	}
	for name, limit := range rules.DedupWindows {
		restrict(name, func(t *routing.RequestType) { t.DedupWindow = min(t.DedupWindow, limit) })
	}
	return types
}
