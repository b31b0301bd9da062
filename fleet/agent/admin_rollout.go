package agent

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"dapplerouter/adminapi"
	"dapplerouter/deployment"
	"dapplerouter/fleet"
	"dapplerouter/fleet/rollout"
)

// RolloutStatus is the state of rollouts as the admin API reports it. Its fields are flat because the JSON object is flat.
type RolloutStatus struct {
	Phase              string              `json:"phase"`
	Base               uint64              `json:"base"`           // the version in force; 0 for each front's own file
	Next               uint64              `json:"next,omitempty"` // the version that is being rolled out; 0 for none
	Mandatory          bool                `json:"must,omitempty"` // the version is mandatory: no front may use Base once Next is in force
	Paused             bool                `json:"held,omitempty"`
	Stage              int                 `json:"wave,omitempty"`   // the current stage, counted from 1
	Stages             []uint16            `json:"waves,omitempty"`  // share of the fleet at each stage, in thousandths
	ObservationTime    string              `json:"watch,omitempty"`  // observation time of each stage
	InForceWithin      string              `json:"within,omitempty"` // time within which Next must be in force
	Reason             string              `json:"why"`
	RulesHashes        [2]string           `json:"meaning"`            // hashes of the rules of Base and Next
	QueuedPublications []WaitingStatus     `json:"waiting,omitempty"`  // queued publications, for the version after Next
	UnconfirmedFronts  []string            `json:"unproven,omitempty"` // fronts that may continue to use Base while they are isolated
	ActiveVersion      uint64              `json:"acts"`               // version that the responding front uses
	ConfigLeaseSeconds float64             `json:"right_left_s"`       // time until the configuration lease of the responding front expires
	Fronts             []ParticipantStatus `json:"fronts"`             // reports of all fronts to the leader; empty without a leader
}

// WaitingStatus is a queued publication, which waits for the next version.
type WaitingStatus struct {
	Front   string `json:"front"`
	Base    uint64 `json:"base"`
	Changes string `json:"changes"`
}

// ParticipantStatus is what a front reports about its configuration version.
type ParticipantStatus struct {
	Front           string  `json:"front"`
	Zone            string  `json:"zone"`
	ActiveVersion   uint64  `json:"acts"`
	AgeSeconds      float64 `json:"heard_ago_s"`
	Adopted         string  `json:"adopted,omitempty"`
	RejectedVersion uint64  `json:"refused,omitempty"`
	Reason          string  `json:"why,omitempty"`
	Participates    bool    `json:"takes_part"`
}

// registerRollout registers the handlers for rollouts.
func (a *Agent) registerRollout(s *adminapi.Server) {
	s.HandleGet("/v1/fleet/roll", func(url.Values) (any, error) { return a.rolloutStatus(), nil })
	s.HandlePost("/v1/fleet/roll", a.requestRollout)
}

// rolloutStatus returns the state of rollouts as this front knows it, with the reports of all fronts to the leader.
func (a *Agent) rolloutStatus() (s RolloutStatus) {
	reports := a.collectDigests(rollout.Subsystem)
	a.mesh.Do(func(n *fleet.Node, now time.Duration) {
		state, _ := rollout.ReadState(n.State())
		active := a.rollout.participant.Adopter.Active()
		s = RolloutStatus{
			Phase:              state.Phase.String(),
			Base:               state.Base,
			Next:               state.Next,
			Mandatory:          state.Mandatory,
			Paused:             state.Paused,
			Stage:              state.Stage + 1,
			Stages:             state.Stages,
			Reason:             state.Reason,
			RulesHashes:        state.RulesHashes,
			UnconfirmedFronts:  state.UnconfirmedFronts,
			ActiveVersion:      active,
			ConfigLeaseSeconds: max(0, (n.ConfigLeaseExpiry(active) - now).Seconds()),
		}
		if within := rollout.InForceWithin(n.State()); within > 0 {
			s.InForceWithin = within.String()
		}
		for _, w := range rollout.QueuedPublications(n.State()) {
			s.QueuedPublications = append(s.QueuedPublications, WaitingStatus{Front: w.Front, Base: w.Base, Changes: w.Changes})
		}
		if state.ObservationTime > 0 {
			s.ObservationTime = state.ObservationTime.String()
		}
	})
	for _, report := range reports {
		s.Fronts = append(s.Fronts, participantStatus(report))
	}
	return s
}

// participantStatus converts what the leader knows of a front into the form of the admin API: which configuration version the front uses,
// since when, and which version it last rejected and why. AgeSeconds is the age of the front's last report in seconds.
func participantStatus(report fleet.MemberReport) ParticipantStatus {
	digest, _ := rollout.DecodeReport(report.Data) // zero if the front has another program version whose reports can't be decoded
	p := ParticipantStatus{
		Front:           report.Front,
		Zone:            report.Zone,
		ActiveVersion:   report.ActiveVersion,
		AgeSeconds:      report.Age.Seconds(),
		RejectedVersion: digest.RejectedVersion,
		Reason:          digest.RejectedReason,
		Participates:    report.WantsConfigLease,
	}
	if digest.AdoptedAt > 0 {
		p.Adopted = time.UnixMicro(digest.AdoptedAt).UTC().Format("2006-01-02T15:04:05.000Z")
	}
	return p
}

// requestRollout submits an operator's action and waits for its outcome. A rejected action is a RejectedError.
func (a *Agent) requestRollout(q url.Values) (any, error) {
	action, err := a.parseAction(q)
	if err != nil {
		return nil, err
	}
	outcome := make(chan error, 1)
	timeout := max(8*a.config.LeaseDuration, max(action.InForceWithin, a.rollout.config.InForceWithin)+2*a.config.LeaseDuration)
	a.mesh.Do(func(n *fleet.Node, now time.Duration) {
		a.rollout.participant.Submit(now, action, timeout, func(err error) { outcome <- err })
	})
	select {
	case err := <-outcome:
		if err != nil {
			return nil, adminapi.RejectedError(err.Error())
		}
		return map[string]any{"done": true, "version": a.rolloutState().Next}, nil
	case <-time.After(timeout + 2*a.config.LeaseDuration):
		return nil, errNoAnswer
	}
}

// rolloutState returns the state of rollouts in this front's copy of the replicated state.
func (a *Agent) rolloutState() (state rollout.State) {
	a.mesh.Do(func(n *fleet.Node, _ time.Duration) { state, _ = rollout.ReadState(n.State()) })
	return state
}

// parseAction parses an action from a request to the admin API. The error is a RejectedError that says what is wrong with the request.
func (a *Agent) parseAction(q url.Values) (action rollout.Action, err error) {
	var id [8]byte
	_, _ = rand.Read(id[:]) // crypto/rand.Read never returns an error: it crashes the process instead
	action = rollout.Action{ID: binary.LittleEndian.Uint64(id[:]) | 1, Reason: q.Get("why"), Mandatory: q.Get("must") == "true"}
	switch q.Get("do") {
	case "publish":
		action.Type = rollout.ActionPublish
		err = a.parsePublish(q, &action)
	case "back":
		action.Type = rollout.ActionRollBack
	case "hold":
		action.Type = rollout.ActionPause
	case "resume":
		action.Type = rollout.ActionResume
	default:
		err = adminapi.RejectedError("unknown: " + q.Get("do"))
	}
	return action, err
}

// parsePublish parses the parameters of a publication into action. It rejects rules that this front can't use.
func (a *Agent) parsePublish(q url.Values, action *rollout.Action) error {
	if err := a.parsePublishedRules(q.Get("text"), action); err != nil {
		return err
	}
	if err := parseStages(q, action); err != nil {
		return err
	}
	switch q.Get("no_evidence") {
	case "", "go":
	case "hold":
		action.OnUndecided = rollout.UndecidedPause
	case "back":
		action.OnUndecided = rollout.UndecidedRollBack
	default:
		return adminapi.RejectedError("no_evidence is go, hold or back, not " + q.Get("no_evidence"))
	}
	permille, err := strconv.ParseUint(q.Get("shut_out"), 10, 16)
	if err != nil || permille > 1000 {
		return adminapi.RejectedError("shut_out is thousandths: " + q.Get("shut_out"))
	}
	action.MaxFenced = uint16(permille)
	base := q.Get("on")
	if base == "" {
		action.Base = a.rolloutState().Base
		return nil
	}
	if action.Base, err = strconv.ParseUint(base, 10, 64); err != nil {
		return adminapi.RejectedError("on is no version: " + base)
	}
	return nil
}

// parsePublishedRules parses the published file and validates it in the same way as each front that adopts it.
func (a *Agent) parsePublishedRules(text string, action *rollout.Action) error {
	action.Text = []byte(text)
	rules, err := deployment.ParseRules("the file", action.Text)
	if err != nil {
		return adminapi.RejectedError(err.Error())
	}
	if err := rules.Validate(a.settings); err != nil {
		return adminapi.RejectedError(err.Error())
	}
	if len(action.Text) > rollout.MaxTextBytes {
		return adminapi.RejectedError(fmt.Sprintf("the file has %d bytes, and %d are the most", len(action.Text), rollout.MaxTextBytes))
	}
	action.RulesHash = rules.Digest()
	return nil
}

// parseStages parses the stages, in thousandths of the fleet, their observation time, and the time within which the version must be in
// force.
func parseStages(q url.Values, action *rollout.Action) (err error) {
	for _, p := range strings.Split(q.Get("waves"), ",") {
		permille, err := strconv.ParseUint(p, 10, 16)
		if err != nil {
			return adminapi.RejectedError("waves are thousandths: " + err.Error())
		}
		action.Stages = append(action.Stages, uint16(permille))
	}
	action.ObservationTime, err = time.ParseDuration(q.Get("watch"))
	if err != nil || action.ObservationTime < 0 {
		return adminapi.RejectedError("watch is no time: " + q.Get("watch"))
	}
	if within := q.Get("within"); within != "" {
		if action.InForceWithin, err = time.ParseDuration(within); err != nil || action.InForceWithin < 0 {
			return adminapi.RejectedError("within is no time: " + within)
		}
	}
	return nil
}
