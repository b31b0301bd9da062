// Package deployment reads, checks and fills in what an instance is told at its start. Whatever carries it (the
// bench's born line, a JSON file) is a Source; the records of package port that come of it are the same.
package deployment

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"dapplerouter/routing"
)

// Source gives the text under a dotted path, and "" where there is none. The values of a list of plain ones
// are joined by commas; a list of objects has its length under .count and its items under .0, .1 and so on.
type Source func(path string) string

// KeyError is what is wrong with the text under a key.
type KeyError struct {
	Key, Problem string
	Transient    bool // the file could not be opened or is not whole, as while it is written: another reading may find it well
}

func (f *KeyError) Error() string { return f.Key + " " + f.Problem }

// Settings is where an instance stands, in records of package port, with the names that ids refer to.
type Settings struct {
	PositionOrigin                      int64 // clock time from which positions are measured
	TypeNames, CustomerNames, ZoneNames []string
	Topology                            routing.Topology
	RequestTypes                        []routing.RequestType
	CustomerQuotas                      []routing.Customer
	Replication                         routing.Replication
	Guardrails                          routing.Guardrails
	Limits                              routing.Limits
	CostWeights                         routing.CostWeights
}

var effects = map[string]routing.Idempotency{
	"read_like": routing.Idempotent, "idempotency_key": routing.IdempotencyKey, "non_idempotent": routing.NonIdempotent,
}

var scopes = map[string]routing.DedupScope{"all": routing.ScopeAll, "zone": routing.ScopeZone, "cell": routing.ScopeGroup}

var checks = map[string]routing.StalenessCheck{"silent": routing.NoStalenessCheck, "bounce": routing.RejectIfStale, "await": routing.WaitUntilFresh}

var levels = map[string]routing.Consistency{
	"eventual": routing.Eventual, "lag_bound": routing.BoundedStaleness, "causal": routing.ReadYourWrites, "strong": routing.Strong,
	"mutate": routing.Write,
}

var listedRoles = map[string]routing.RoleListing{
	"silent": routing.RolesNotListed, "static": routing.RolesAtStart, "trailing": routing.RolesDelayed,
}

var asked = map[string]bool{"push": false, "ask": true}

// piggyback tells whether load reports ride on answers; where nothing is said of reports, there are none.
var piggyback = map[string]bool{"": false, "silent": false, "pull": false, "piggyback": true}

// ReadSettings makes the records; keys that it does not know are passed over. The fault is the first one met.
func ReadSettings(from Source) (*Settings, error) {
	r := &reading{get: from}
	s := &Settings{
		PositionOrigin: r.optional("FamilyInfo.Zero"),
		ZoneNames:      strings.Split(r.need("Zones"), ","),
	}
	levelsOf := strings.Split(r.need("FamilyInfo.ReadLevel"), ",")
	boundsOf := strings.Split(r.need("FamilyInfo.StalenessBound"), ",")
	n := int(r.integer("Classes.count"))
	if r.err == nil && (len(levelsOf) != n || len(boundsOf) != n) {
		r.fail("FamilyInfo.ReadLevel", "does not match Classes.count")
	}
	for i := 0; i < n && r.err == nil; i++ {
		p := "Classes." + strconv.Itoa(i) + "."
		s.TypeNames = append(s.TypeNames, r.need(p+"Name"))
		s.RequestTypes = append(s.RequestTypes, routing.RequestType{
			LatencyObjective: r.span(p + "Aim"), Deadline: r.span(p + "Deadline"), WorkMultiple: r.decimal(p+"AimStretch", 0),
			PriorityWeight: r.decimal(p+"Worth", 1), LateFraction: r.decimal(p+"LateWorth", 0),
			Idempotency:  choice(r, p+"Effect", effects),
			DedupScope:   choice(r, p+"Group", scopes),
			DedupWindow:  time.Duration(r.optional(p + "Window")),
			Consistency:  word(r, "FamilyInfo.ReadLevel", levelsOf[i], levels),
			MaxStaleness: time.Duration(r.parse("FamilyInfo.StalenessBound", boundsOf[i])),
		})
	}
	n = int(r.optional("Tenants.count"))
	for i := 0; i < n && r.err == nil; i++ {
		p := "Tenants." + strconv.Itoa(i) + "."
		s.CustomerNames = append(s.CustomerNames, r.need(p+"Name"))
		s.CustomerQuotas = append(s.CustomerQuotas, routing.Customer{
			RequestsPerSecond: r.decimal(p+"QuotaPerS", 0), Quota: r.decimal(p+"Share", 0)})
	}
	home := r.need("Locality")
	s.Topology = routing.Topology{
		Zone: routing.None, ZoneCount: len(s.ZoneNames), FleetSize: int(r.integer("FleetSize")), Ordinal: int(r.integer("Ordinal")),
		PullEndpoints: choice(r, "Discovery", asked), TickInterval: r.span("Tick"),
		RetriesMarked: r.yes("Clients.MarksRetry"),
		RoleListing:   choice(r, "FamilyInfo.RoleListed", listedRoles),
	}
	for i, z := range s.ZoneNames {
		if z == home {
			s.Topology.Zone = i
		}
	}
	if r.err == nil && s.Topology.Zone == routing.None {
		r.fail("Locality", fmt.Sprintf("is none of Zones: %q", home))
	}
	s.Replication = routing.Replication{
		StalenessCheck:      choice(r, "FamilyInfo.Checks", checks),
		FreshnessWait:       time.Duration(r.optional("FamilyInfo.HoldsFor")),
		ClientCarriesToken:  r.need("FamilyInfo.WriteMarks") == "brought",
		PositionInResponses: r.yes("FamilyInfo.TellsPosition"),
		SemiSyncWrites:      r.yes("FamilyInfo.Synchronous"),
		LoadInResponses:     word(r, "Stats.Source", r.get("Stats.Source"), piggyback),
	}
	s.Guardrails = routing.Guardrails{
		AnswerSlack: r.span("Rules.AnswerSlack"), DrainGrace: r.span("Rules.StopSendingWithin"),
		MaxPollInterval: time.Duration(r.optional("Rules.AskEvery")), InitialCapacity: r.decimal("Rules.StartCapacity", 1),
		OverloadMultiple: r.decimal("Rules.FallMultiple", 1), SlowStartDuration: r.span("Rules.Cold"), OverloadWindow: r.span("Rules.Fall"),
	}
	s.Limits = routing.Limits{
		MaxAttempts: int(r.integer("Limits.AttemptsCap")), HealthChecks: r.yes("Limits.MayProbe"),
		Gossip: r.yes("Limits.Peers"), Cancellation: r.yes("Limits.Cancel"), HedgedRequests: r.yes("Limits.MayDuplicate"),
		MaxRetryAfter:   time.Duration(r.optional("Limits.MaxRetryAfter")),
		DialTimeout:     time.Duration(r.optional("Limits.DialTimeout")),
		IdleConnTimeout: time.Duration(r.optional("Limits.ConnIdle")),
	}
	if !r.yes("Limits.RetryAfter") {
		s.Limits.MaxRetryAfter = 0
	}
	s.CostWeights = routing.CostWeights{
		CrossZone: r.decimal("Deductions.CrossZone", 0), WastedWork: r.decimal("Deductions.Waste", 0),
		HealthCheck: r.decimal("Deductions.Probe", 0), LateFailure: r.decimal("Deductions.LateFail", 0),
		Gossip: r.decimal("Deductions.Peer", 0), OverQuota: r.decimal("OverShareWorth", 1),
	}
	r.once("Classes", s.TypeNames)
	r.once("Tenants", s.CustomerNames)
	r.once("Zones", s.ZoneNames)
	if r.err != nil {
		return nil, r.err
	}
	return s, nil
}

// once refuses a name that stands twice: names become indices, and all behind it would have the settings of its neighbour.
func (r *reading) once(key string, names []string) {
	seen := map[string]struct{}{}
	for _, n := range names {
		if _, twice := seen[n]; twice {
			r.fail(key, fmt.Sprintf("names %q twice", n))
		}
		seen[n] = struct{}{}
	}
}

// reading keeps the first fault met.
type reading struct {
	get Source
	err error
}

func (r *reading) fail(key, what string) {
	if r.err == nil {
		r.err = &KeyError{Key: key, Problem: what}
	}
}

func (r *reading) need(key string) string {
	v := r.get(key)
	if v == "" {
		r.fail(key, "is missing")
	}
	return v
}

func (r *reading) parse(key, v string) int64 {
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		r.fail(key, fmt.Sprintf("is no integer: %q", v))
	}
	return n
}

func (r *reading) integer(key string) int64 {
	r.need(key)
	return r.optional(key)
}

func (r *reading) optional(key string) int64 {
	v := r.get(key)
	if v == "" {
		return 0
	}
	return r.parse(key, v)
}

func (r *reading) span(key string) time.Duration {
	n := r.integer(key)
	if n < 0 {
		r.fail(key, "is below 0")
	}
	return time.Duration(n)
}

func (r *reading) decimal(key string, absent float64) float64 {
	v := r.get(key)
	if v == "" {
		return absent
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		r.fail(key, fmt.Sprintf("is no number: %q", v))
		return absent
	}
	return f
}

// yes reads a plain word.
func (r *reading) yes(key string) bool {
	switch r.get(key) {
	case "", "false", "0":
		return false
	case "true", "1":
		return true
	}
	r.fail(key, "is neither true nor false")
	return false
}

func choice[T any](r *reading, key string, words map[string]T) T {
	return word(r, key, r.need(key), words)
}

func word[T any](r *reading, key, v string, words map[string]T) T {
	t, ok := words[v]
	if !ok {
		r.fail(key, fmt.Sprintf("has an unknown word: %q", v))
	}
	return t
}

// SetLoadField puts a value of a load report into its field, by the names that sites give them. Positions are in
// seconds, counted from zero; names that say nothing here are passed over.
func SetLoadField(l *routing.LoadReport, name string, v float64, zero time.Duration) {
	switch name {
	case "active", "inflight":
		l.InFlight = v
	case "waiting", "queue":
		l.Queued = v
	case "cpu", "util":
		l.Utilization = v
	case "avg_ms", "latency_ms":
		l.LatencyMillis = v
	case "rps", "qps":
		l.RequestRate = v
	case "err_rps", "eps":
		l.ErrorRate = v
	case "x0":
		l.Position, l.HasPosition = zero+time.Duration(v*float64(time.Second)), true
	case "x1":
		l.Role = routing.Replica
		if v == 1 {
			l.Role = routing.Primary
		}
	}
}

// EmptyLoad is a load report that says nothing.
var EmptyLoad = routing.LoadReport{InFlight: routing.None, Queued: routing.None, Utilization: routing.None, LatencyMillis: routing.None,
	RequestRate: routing.None, ErrorRate: routing.None}
