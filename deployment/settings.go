// Package deployment reads and checks the configuration of an instance: its environment and file at start (Instance), the
// settings of its deployment in that file (Settings), and the rules that operators publish while it runs (Rules). Settings may
// be read from any Source; the wire protocol of the laboratory is another one. The values that the package returns are never
// modified afterwards.
//
// The names of keys are defined by the deployments and cannot change. Each error names its key.
package deployment

import (
	"fmt"
	"strconv"
	"strings"

	"dapplerouter/routing"
)

// Settings describe the deployment of an instance in the types of package routing, and hold the names of the ids that these
// types use. Each id is an index into the list of its names.
type Settings struct {
	PositionOrigin                      int64 // clock time from which log positions are measured
	TypeNames, CustomerNames, ZoneNames []string
	Topology                            routing.Topology
	RequestTypes                        []routing.RequestType
	CustomerQuotas                      []routing.Customer
	Replication                         routing.Replication
	DeploymentRules                     routing.DeploymentRules
	Limits                              routing.Limits
	CostWeights                         routing.CostWeights
}

// idempotencies maps the words in settings to values of routing.Idempotency.
var idempotencies = map[string]routing.Idempotency{
	"read_like": routing.Idempotent, "idempotency_key": routing.IdempotencyKey, "non_idempotent": routing.NonIdempotent,
}

// dedupScopes maps the words in settings to values of routing.DedupScope.
var dedupScopes = map[string]routing.DedupScope{"all": routing.ScopeAll, "zone": routing.ScopeZone, "cell": routing.ScopeGroup}

// stalenessChecks maps the words in settings to values of routing.StalenessCheck.
var stalenessChecks = map[string]routing.StalenessCheck{
	"silent": routing.NoStalenessCheck, "bounce": routing.RejectIfStale, "await": routing.WaitUntilFresh,
}

// consistencies maps the words in settings to values of routing.Consistency.
var consistencies = map[string]routing.Consistency{
	"eventual": routing.Eventual, "lag_bound": routing.BoundedStaleness, "causal": routing.ReadYourWrites, "strong": routing.Strong,
	"mutate": routing.Write,
}

// roleListings maps the words in settings to values of routing.RoleListing.
var roleListings = map[string]routing.RoleListing{
	"silent": routing.RolesNotListed, "static": routing.RolesAtStart, "trailing": routing.RolesDelayed,
}

// pullEndpoints maps the kind of discovery to whether an instance requests the endpoint list itself.
var pullEndpoints = map[string]bool{"push": false, "ask": true}

// loadInResponses maps the source of load reports to whether they come with responses. They do not if the key is missing.
var loadInResponses = map[string]bool{"": false, "silent": false, "pull": false, "piggyback": true}

// ReadSettings reads the settings from a source. Unknown keys are ignored. The error is the first *KeyError found.
func ReadSettings(from Source) (*Settings, error) {
	r := &keyReader{get: from}
	s := &Settings{PositionOrigin: r.optionalInteger("FamilyInfo.Zero"), ZoneNames: strings.Split(r.required("Zones"), ",")}
	s.checkZoneCount(r)
	s.readRequestTypes(r)
	s.readCustomers(r)
	s.readTopology(r)
	s.readReplication(r)
	s.readDeploymentRules(r)
	s.readLimits(r)
	s.readCostWeights(r)
	r.checkUnique("Classes", s.TypeNames)
	r.checkUnique("Tenants", s.CustomerNames)
	r.checkUnique("Zones", s.ZoneNames)
	if r.err != nil {
		return nil, r.err
	}
	return s, nil
}

// checkZoneCount checks, where the source has the length of the list of zones, that no name contains the comma that joins the names.
func (s *Settings) checkZoneCount(r *keyReader) {
	if count := r.get("Zones.count"); count != "" && count != strconv.Itoa(len(s.ZoneNames)) {
		r.fail("Zones", "has a name with a comma: write the names of zones without commas, here and in the endpoint list")
	}
}

// readRequestTypes reads the request types. Their consistency and staleness bounds are two lists beside them, of the same
// length.
func (s *Settings) readRequestTypes(r *keyReader) {
	levels := strings.Split(r.required("FamilyInfo.ReadLevel"), ",")
	bounds := strings.Split(r.required("FamilyInfo.StalenessBound"), ",")
	n := r.count("Classes.count")
	if r.err == nil && (len(levels) != n || len(bounds) != n) {
		r.fail("FamilyInfo.ReadLevel", "does not match Classes.count")
	}
	for i := 0; i < n && r.err == nil; i++ {
		p := "Classes." + strconv.Itoa(i) + "."
		s.TypeNames = append(s.TypeNames, r.required(p+"Name"))
		s.RequestTypes = append(s.RequestTypes, routing.RequestType{
			LatencyObjective: r.duration(p + "Aim"), Deadline: r.duration(p + "Deadline"), WorkMultiple: r.decimal(p+"AimStretch", 0),
			PriorityWeight: r.decimal(p+"Worth", 1), LateFraction: r.decimal(p+"LateWorth", 0),
			Idempotency:  requiredChoice(r, p+"Effect", idempotencies),
			DedupScope:   requiredChoice(r, p+"Group", dedupScopes),
			DedupWindow:  r.optionalDuration(p + "Window"),
			Consistency:  parseChoice(r, "FamilyInfo.ReadLevel", levels[i], consistencies),
			MaxStaleness: r.parseDuration("FamilyInfo.StalenessBound", bounds[i]),
		})
	}
}

// readCustomers reads the customers and their quotas. There may be none.
func (s *Settings) readCustomers(r *keyReader) {
	n := r.optionalCount("Tenants.count")
	for i := 0; i < n && r.err == nil; i++ {
		p := "Tenants." + strconv.Itoa(i) + "."
		s.CustomerNames = append(s.CustomerNames, r.required(p+"Name"))
		s.CustomerQuotas = append(s.CustomerQuotas, routing.Customer{
			RequestsPerSecond: r.decimal(p+"QuotaPerS", 0), Quota: r.decimal(p+"Share", 0)})
	}
}

// readTopology reads the place of the instance in its fleet. Its zone must be one of ZoneNames, which must have been read
// before.
func (s *Settings) readTopology(r *keyReader) {
	zone := r.required("Locality")
	s.Topology = routing.Topology{
		Zone: routing.None, ZoneCount: len(s.ZoneNames), FleetSize: r.count("FleetSize"), Ordinal: r.count("Ordinal"),
		PullEndpoints: requiredChoice(r, "Discovery", pullEndpoints), TickInterval: r.duration("Tick"),
		RetriesMarked: r.boolean("Clients.MarksRetry"),
		RoleListing:   requiredChoice(r, "FamilyInfo.RoleListed", roleListings),
	}
	for i, z := range s.ZoneNames {
		if z == zone {
			s.Topology.Zone = i
		}
	}
	if r.err == nil && s.Topology.Zone == routing.None {
		r.fail("Locality", fmt.Sprintf("is none of Zones: %q", zone))
	}
}

func (s *Settings) readReplication(r *keyReader) {
	s.Replication = routing.Replication{
		StalenessCheck:      requiredChoice(r, "FamilyInfo.Checks", stalenessChecks),
		FreshnessWait:       r.optionalDuration("FamilyInfo.HoldsFor"),
		ClientCarriesToken:  r.required("FamilyInfo.WriteMarks") == "brought",
		PositionInResponses: r.boolean("FamilyInfo.TellsPosition"),
		SemiSyncWrites:      r.boolean("FamilyInfo.Synchronous"),
		LoadInResponses:     parseChoice(r, "Stats.Source", r.get("Stats.Source"), loadInResponses),
	}
}

func (s *Settings) readDeploymentRules(r *keyReader) {
	s.DeploymentRules = routing.DeploymentRules{
		DeadlineGrace: r.duration("Rules.AnswerSlack"), DrainGrace: r.duration("Rules.StopSendingWithin"),
		MaxPollInterval: r.optionalDuration("Rules.AskEvery"), InitialCapacity: r.decimal("Rules.StartCapacity", 1),
		OverloadMultiple: r.decimal("Rules.FallMultiple", 1), SlowStartDuration: r.duration("Rules.Cold"),
		OverloadWindow: r.duration("Rules.Fall"), OnlyDrainingBinds: r.boolean("Rules.SoftRemoval"),
	}
}

func (s *Settings) readLimits(r *keyReader) {
	s.Limits = routing.Limits{
		MaxAttempts: r.count("Limits.AttemptsCap"), HealthChecks: r.boolean("Limits.MayProbe"),
		Gossip: r.boolean("Limits.Peers"), Cancellation: r.boolean("Limits.Cancel"), HedgedRequests: r.boolean("Limits.MayDuplicate"),
		MaxRetryAfter:   r.optionalDuration("Limits.MaxRetryAfter"),
		DialTimeout:     r.optionalDuration("Limits.DialTimeout"),
		IdleConnTimeout: r.optionalDuration("Limits.ConnIdle"),
	}
	if !r.boolean("Limits.RetryAfter") {
		s.Limits.MaxRetryAfter = 0
	}
}

func (s *Settings) readCostWeights(r *keyReader) {
	s.CostWeights = routing.CostWeights{
		CrossZone: r.decimal("Deductions.CrossZone", 0), WastedWork: r.decimal("Deductions.Waste", 0),
		HealthCheck: r.decimal("Deductions.Probe", 0), LateFailure: r.decimal("Deductions.LateFail", 0),
		Gossip: r.decimal("Deductions.Peer", 0), OverQuota: r.decimal("OverShareWorth", 1),
	}
}
