package front

import (
	"log/slog"
	"slices"
	"time"

	"dapplerouter/deployment"
	"dapplerouter/routing"
)

// configVersion is a published version of the configuration: request types with their limits, and the groups whose requests are
// rejected. Except for its lease, it is immutable. A request keeps the version under which it was accepted.
type configVersion struct {
	number         uint64
	types          []routing.RequestType
	rejectedGroups map[int64]struct{}
	lease          *ConfigLease // permits the front to act on the version; nil if no lease is needed
}

// versions holds the configuration versions on which the front acts: the current one for new requests, and older ones until all requests
// under older versions are finished.
type versions struct {
	current         *configVersion
	older           []*configVersion // versions that may have unfinished requests
	olderUnfinished int              // number of unfinished requests under older versions
	onOlderFinished func()           // called once, when olderUnfinished reaches 0
	standby         bool             // the lease of the current version has expired: no request is accepted
}

// all returns the versions on which the front acts. The current one is the last.
func (v *versions) all() []*configVersion { return append(slices.Clip(v.older), v.current) }

// adopt makes a version the current one. unfinished is the number of unfinished requests under all earlier versions.
func (v *versions) adopt(next *configVersion, unfinished int, onOlderFinished func()) {
	if unfinished > v.olderUnfinished { // some of them are under the version that was current until now
		v.older = append(v.older, v.current)
	}
	v.current = next
	v.olderUnfinished, v.onOlderFinished = unfinished, onOlderFinished
}

// requestFinished records that a request under the given version is finished.
func (v *versions) requestFinished(under *configVersion) {
	if under != v.current {
		v.olderUnfinished--
		v.dropOlder()
	}
}

// dropOlder removes the older versions and calls onOlderFinished, if all requests under older versions are finished. Otherwise it does
// nothing.
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

// ConfigVersion returns the number of the current configuration version. It is for hosts that call Step; other hosts learn of changes
// through AdoptConfig.OnAdopted.
func (c *Core) ConfigVersion() uint64 { return c.versions.current.number }

// Standby reports whether the core accepts no requests because it has no valid lease. It is for hosts that call Step.
func (c *Core) Standby() bool { return c.versions.standby }

// ActiveVersions returns the numbers of the configuration versions under which an attempt may be sent now, the current one last. It
// excludes versions whose lease has expired. It is for hosts that call Step.
func (c *Core) ActiveVersions() (active []uint64) {
	for _, v := range c.versions.all() {
		if v.lease == nil || v.lease.unexpired() {
			active = append(active, v.number)
		}
	}
	return active
}

// AdoptConfig is the event that makes a configuration version the current one. New requests are accepted under it; earlier requests keep
// their versions. The core's goroutine calls OnAdopted and OnOlderFinished.
type AdoptConfig struct {
	Version         uint64
	Rules           *deployment.Rules // validated against the deployment settings; nil for none
	LeaseExpiry     time.Duration     // expiry of the version's lease, if the front needs leases
	OnAdopted       func(at time.Duration)
	OnOlderFinished func() // called once no request under an older version is left, so that the front acts on this version only
}

// apply makes the version the current one. If the front needs leases and LeaseExpiry has passed, the front enters standby at once.
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

// restrictedTypes returns the deployment's request types with the limits of a version's rules. The rules can only make limits stricter.
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
