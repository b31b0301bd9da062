package capacity

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dapplerouter/adminapi"
)

// Timeout and polling intervals of a publication.
const (
	inForceTimeout  = 2 * time.Minute        // for a configuration to be accepted, and again for it to be in force everywhere
	publishInterval = 250 * time.Millisecond // between two attempts to publish
	historyInterval = 10 * time.Millisecond  // between two reads of the history
)

// Options of the shortest possible rollout. It has one stage with all fronts and no watch time. Up to a fifth of the fleet may be
// fenced at once.
const (
	singleStage       = "1000"
	maxFencedPermille = "200"
)

// configurationPhase is the phase that publishes configurations, one after the other.
type configurationPhase struct {
	*testbed
	history *historyReader
	times   rolloutTimes
}

// rolloutTimes holds the measured times of all rollouts of a phase.
type rolloutTimes struct {
	adopted         *hdrhistogram.Histogram // from the publish to the adoption by each simulated follower that is not paused
	stageDone       *hdrhistogram.Histogram // from the publish to the end of the stage: all connected fronts have reported the version
	inForce         *hdrhistogram.Histogram // from the publish to the end of the rollout in the history
	inForceSinceDue *hdrhistogram.Histogram // from the due time of the change, which may wait for the previous one, to the end of the rollout
	afterResume     *hdrhistogram.Histogram // from the end of the pause to the adoption by each front that was paused
	missing         int                     // adoptions that were not observed
	rejected        int                     // publishes that the leaseholder rejected and that were retried
	rollbackReasons []string
}

// measureConfigurations publishes configurations at the rate that the size specifies, and measures when each was adopted and in force.
func (b *testbed) measureConfigurations(ctx context.Context) ([]Record, error) {
	b.options.Progress("%s: %d changes in %v or more", PhaseConfiguration, b.options.changes(), b.options.Duration)
	p := &configurationPhase{testbed: b, history: newHistoryReader(b.settings.historyFile(historyOrdinal)),
		times: rolloutTimes{adopted: newHistogram(), stageDone: newHistogram(), inForce: newHistogram(), inForceSinceDue: newHistogram(),
			afterResume: newHistogram()}}
	usage, err := b.measure(ctx, p.run)
	if err != nil {
		return nil, err
	}
	if b.paused != nil {
		usage.partial[RoleSimulatedFollower] = b.paused.name + " stood still for a part of it"
	}
	return append(b.results.changeRecords(b.options.Size, PhaseConfiguration, b.options.changes(), usage), p.timeRecords()...), nil
}

// run publishes all configurations of the phase, each at its due time or once the previous one has finished.
func (p *configurationPhase) run(ctx context.Context) error {
	startedAt := time.Now()
	for k := range p.options.changes() {
		due := p.dueTime(startedAt, k)
		if err := p.sleepUntil(ctx, due); err != nil {
			return err
		}
		if err := p.publishAndWait(ctx, k, due); err != nil {
			return err
		}
	}
	return p.sleepUntil(ctx, startedAt.Add(p.options.Duration))
}

// timeRecords returns the records of the measured times.
func (p *configurationPhase) timeRecords() (all []Record) {
	t := &p.times
	timings := []timing{
		{resource: "from the publish to a hollow front", times: t.adopted, missing: t.missing},
		{resource: "the stage is over, from the publish", times: t.stageDone},
		{resource: "in force everywhere, from the publish", times: t.inForce},
		{resource: "in force everywhere, from when it was due", times: t.inForceSinceDue},
	}
	if p.paused != nil {
		timings = append(timings, timing{resource: "from the end of the cut to a front that was cut off", times: t.afterResume})
	}
	for _, timing := range timings {
		timing.changes = p.options.changes()
		timing.missing += len(t.rollbackReasons)
		r := timeRecord(p.options.Size, PhaseConfiguration, timing)
		r.Note = t.note()
		all = append(all, r)
	}
	return all
}

// note returns how many rollouts were rolled back, the first reason, and how many publishes were rejected. The text is part of
// records, so it does not change.
func (t *rolloutTimes) note() (text string) {
	if len(t.rollbackReasons) > 0 {
		text = fmt.Sprintf("%d rollouts were taken back, the first since %s", len(t.rollbackReasons), t.rollbackReasons[0])
	}
	if t.rejected > 0 {
		text += fmt.Sprintf("; %d publishes were refused first", t.rejected)
	}
	return strings.TrimPrefix(text, "; ")
}

// publishAndWait publishes configuration k and waits until it is in force or rolled back. The followers that are selected to be paused
// are paused until then. If the configuration came into force, publishAndWait also waits until every simulated follower has adopted it.
func (p *configurationPhase) publishAndWait(ctx context.Context, k int, due time.Time) error {
	if err := p.pauseFollowers(true); err != nil {
		return err
	}
	defer func() { _ = p.pauseFollowers(false) }() // needed after an error; otherwise the followers already run
	published := time.Now()
	version, err := p.publish(ctx, rulesText(k))
	if err != nil {
		return err
	}
	finishedAt, err := p.waitInForce(ctx, version)
	if err != nil {
		return err
	}
	if finishedAt == rolledBack {
		reason := p.history.rollbackReasons[version]
		p.options.Progress("version %d was rolled back: %s", version, reason)
		p.times.rollbackReasons = append(p.times.rollbackReasons, reason)
		return p.pauseFollowers(false)
	}
	if at := p.history.stageDoneAt[version]; at != 0 {
		recordTime(p.times.stageDone, max(1, at-published.UnixMicro()))
	}
	recordTime(p.times.inForce, finishedAt-published.UnixMicro())
	recordTime(p.times.inForceSinceDue, finishedAt-due.UnixMicro())
	p.options.Progress("version %d is in force after %.2f s", version, float64(finishedAt-published.UnixMicro())/1e6)
	if err := p.pauseFollowers(false); err != nil {
		return err
	}
	return p.waitAdopted(ctx, version, published.UnixMicro(), nowMicros())
}

// pauseFollowers pauses or resumes the simulated followers that are selected to be paused, if any.
func (b *testbed) pauseFollowers(paused bool) error {
	if b.paused == nil {
		return nil
	}
	return b.paused.setPaused(paused)
}

// publish publishes a configuration through the rollouts' leaseholder and returns its version. It retries a rejected publish until
// inForceTimeout.
func (p *configurationPhase) publish(ctx context.Context, text string) (version uint64, err error) {
	q := url.Values{"do": {"publish"}, "text": {text}, "waves": {singleStage}, "watch": {"0s"}, "shut_out": {maxFencedPermille},
		"must": {strconv.FormatBool(p.options.Mandatory)}}
	for until := time.Now().Add(inForceTimeout); ; {
		var out struct{ Version uint64 }
		err := adminapi.Call(p.settings.adminSocket(rolloutsOrdinal), "POST", "/v1/fleet/roll", q, &out)
		if err == nil {
			return out.Version, nil
		}
		var rejected adminapi.RejectedError
		if !errors.As(err, &rejected) || time.Now().After(until) {
			return 0, fmt.Errorf("publish configuration: %w", err)
		}
		if p.times.rejected++; p.times.rejected == 1 {
			p.options.Progress("publish rejected: %v", err)
		}
		if err := p.sleepUntil(ctx, time.Now().Add(publishInterval)); err != nil {
			return 0, err
		}
	}
}

// waitInForce waits for the end of a version's rollout. It returns the time of the end in Unix microseconds, or rolledBack. The error
// is ErrNotInForce after the timeout, or an error of sleepUntil or of reading the history.
func (p *configurationPhase) waitInForce(ctx context.Context, version uint64) (finishedAt int64, err error) {
	for until := time.Now().Add(inForceTimeout); time.Now().Before(until); {
		if finishedAt, err = p.history.finished(version); finishedAt != 0 || err != nil {
			return finishedAt, err
		}
		if err := p.sleepUntil(ctx, time.Now().Add(historyInterval)); err != nil {
			return 0, err
		}
	}
	return 0, fmt.Errorf("version %d: %w after %v: %s", version, ErrNotInForce, inForceTimeout, p.history.lastEntry.Reason)
}

// waitAdopted waits until every simulated follower has adopted a version, for at most arrivalTimeout. It records the time of each
// adoption since published or, for a follower that was paused, since resumed. Both are Unix microseconds.
func (p *configurationPhase) waitAdopted(ctx context.Context, version uint64, published, resumed int64) error {
	for until := time.Now().Add(arrivalTimeout); ; {
		running, paused, err := p.pollAdoptions(version)
		if err != nil {
			return err
		}
		missing := recordTimes(newHistogram(), 0, running) + recordTimes(newHistogram(), 0, paused)
		if missing == 0 || time.Now().After(until) {
			p.times.missing += recordTimes(p.times.adopted, published, running) + recordTimes(p.times.afterResume, resumed, paused)
			return nil
		}
		if err := p.sleepUntil(ctx, time.Now().Add(pollInterval)); err != nil {
			return err
		}
	}
}

// pollAdoptions returns when each simulated follower adopted a version, in Unix microseconds; 0 means not yet. Followers that were
// paused are returned separately.
func (b *testbed) pollAdoptions(version uint64) (running, paused []int64, err error) {
	for _, p := range b.simulated {
		r, err := p.call(Request{Operation: opArrivals, Version: version})
		if err != nil {
			return nil, nil, err
		}
		if p == b.paused {
			paused = r.Arrivals
		} else {
			running = append(running, r.Arrivals...)
		}
	}
	return running, paused, nil
}
