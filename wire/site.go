package wire

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"dapplerouter/port"
)

// Site is what a born line says, in records of package port, with the names that ids refer to.
type Site struct {
	Zero                    int64 // clock time from which positions are measured
	Types, Customers, Zones []string
	Topology                port.Topology
	TxnTypes                []port.TxnType
	Shares                  []port.Customer
	Replication             port.Replication
	Guardrails              port.Guardrails
	Allowance               port.Allowance
	Tariff                  port.Tariff
}

var effects = map[string]port.Effect{
	"read_like": port.Repeatable, "idempotency_key": port.Referenced, "non_idempotent": port.OnceOnly,
}

var scopes = map[string]port.Scope{"all": port.ScopeAll, "zone": port.ScopeZone, "cell": port.ScopeGroup}

var checks = map[string]port.Check{"silent": port.Unchecked, "bounce": port.Refuses, "await": port.Holds}

var levels = map[string]port.ReadLevel{
	"eventual": port.AnyData, "lag_bound": port.Bounded, "causal": port.Session, "strong": port.Current,
	"mutate": port.Write,
}

var listedRoles = map[string]port.Listed{
	"silent": port.RoleNever, "static": port.RoleAtStart, "trailing": port.RoleLate,
}

// site reads the settings from the fields of a born line; keys that it does not know are passed over.
func (r *Reader) site() *Site {
	s := &Site{
		Zero:  r.integer("FamilyInfo.Zero"),
		Zones: strings.Split(string(r.need("Zones")), ","),
	}
	levelsOf := strings.Split(string(r.need("FamilyInfo.ReadLevel")), ",")
	boundsOf := strings.Split(string(r.need("FamilyInfo.StalenessBound")), ",")
	n := int(r.integer("Classes.count"))
	if r.err == nil && (len(levelsOf) != n || len(boundsOf) != n) {
		r.fail("FamilyInfo.ReadLevel", "does not match Classes.count")
	}
	for i := 0; i < n && r.err == nil; i++ {
		p := "Classes." + strconv.Itoa(i) + "."
		s.Types = append(s.Types, string(r.need(p+"Name")))
		s.TxnTypes = append(s.TxnTypes, port.TxnType{
			SLA: r.span(p + "Aim"), Expiry: r.span(p + "Deadline"), Stretch: r.decimal(p+"AimStretch", 0),
			Value: r.decimal(p+"Worth", 1), Late: r.decimal(p+"LateWorth", 0),
			Effect: choice(r, p+"Effect", r.need(p+"Effect"), effects),
			Scope:  choice(r, p+"Group", r.need(p+"Group"), scopes),
			Window: time.Duration(r.optional(p + "Window")),
			Level:  choice(r, "FamilyInfo.ReadLevel", []byte(levelsOf[i]), levels),
			Bound:  time.Duration(r.parse("FamilyInfo.StalenessBound", []byte(boundsOf[i]))),
		})
	}
	n = int(r.optional("Tenants.count"))
	for i := 0; i < n && r.err == nil; i++ {
		p := "Tenants." + strconv.Itoa(i) + "."
		s.Customers = append(s.Customers, string(r.need(p+"Name")))
		s.Shares = append(s.Shares, port.Customer{
			PerSecond: r.decimal(p+"QuotaPerS", 0), Share: r.decimal(p+"Share", 0)})
	}
	home := string(r.need("Locality"))
	s.Topology = port.Topology{
		Zone: port.None, Zones: len(s.Zones), Fronts: int(r.integer("FleetSize")), Front: int(r.integer("Ordinal")),
		Ask: string(r.need("Discovery")) == "ask", Tick: r.span("Tick"),
		RetriesMarked: r.yes("Clients.MarksRetry"),
		Roles:         choice(r, "FamilyInfo.RoleListed", r.need("FamilyInfo.RoleListed"), listedRoles),
	}
	for i, z := range s.Zones {
		if z == home {
			s.Topology.Zone = i
		}
	}
	if r.err == nil && s.Topology.Zone == port.None {
		r.fail("Locality", fmt.Sprintf("is none of Zones: %q", home))
	}
	s.Replication = port.Replication{
		Check:         choice(r, "FamilyInfo.Checks", r.need("FamilyInfo.Checks"), checks),
		Hold:          time.Duration(r.optional("FamilyInfo.HoldsFor")),
		Carried:       string(r.need("FamilyInfo.WriteMarks")) == "brought",
		AnswersTell:   r.yes("FamilyInfo.TellsPosition"),
		WritesWaited:  r.yes("FamilyInfo.Synchronous"),
		PiggybackLoad: string(r.get("Stats.Source")) == "piggyback",
	}
	s.Guardrails = port.Guardrails{
		AnswerSlack: r.span("Rules.AnswerSlack"), DrainGrace: r.span("Rules.StopSendingWithin"),
		AskWithin: time.Duration(r.optional("Rules.AskEvery")), ColdShare: r.decimal("Rules.StartCapacity", 1),
		FallMultiple: r.decimal("Rules.FallMultiple", 1), Cold: r.span("Rules.Cold"), Fall: r.span("Rules.Fall"),
		OnlyDrainingBinds: r.yes("Rules.SoftRemoval"),
	}
	s.Allowance = port.Allowance{
		Submissions: int(r.integer("Limits.AttemptsCap")), Probes: r.yes("Limits.MayProbe"),
		Peers: r.yes("Limits.Peers"), Revokes: r.yes("Limits.Cancel"), Twice: r.yes("Limits.MayDuplicate"),
		ComeBack: r.yes("Limits.RetryAfter"), ComeBackMax: time.Duration(r.optional("Limits.MaxRetryAfter")),
		DialTimeout: time.Duration(r.optional("Limits.DialTimeout")),
		LinkIdle:    time.Duration(r.optional("Limits.ConnIdle")),
	}
	s.Tariff = port.Tariff{
		CrossZone: r.decimal("Deductions.CrossZone", 0), Waste: r.decimal("Deductions.Waste", 0),
		Probe: r.decimal("Deductions.Probe", 0), LateEnd: r.decimal("Deductions.LateFail", 0),
		Peer: r.decimal("Deductions.Peer", 0), OverShare: r.decimal("OverShareWorth", 1),
	}
	return s
}

func (r *Reader) decimal(field string, absent float64) float64 {
	v := r.get(field)
	if len(v) == 0 {
		return absent
	}
	return r.number(field, v)
}

// yes reads a setting that is a plain word.
func (r *Reader) yes(field string) bool {
	switch string(r.get(field)) {
	case "", "false", "0":
		return false
	case "true", "1":
		return true
	}
	r.fail(field, "is neither true nor false")
	return false
}
