package capacity

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dapplerouter/adminapi"
	"dapplerouter/fleet"
)

// How long a configuration may take to be in force everywhere, and how often it is looked for.
const (
	inForceTimeout  = 2 * time.Minute
	publishInterval = 250 * time.Millisecond
	historyInterval = 10 * time.Millisecond
)

// One stage with all fronts, not watched: the shortest way that a rollout has. A fifth of the fleet may be fenced at once.
const (
	singleStage       = "1000"
	maxFencedPermille = "200"
)

// rolloutTimes are the times of the configurations of a phase.
type rolloutTimes struct {
	adopted         *hdrhistogram.Histogram // from the publish to each hollow front that is not cut off
	stageDone       *hdrhistogram.Histogram // to the end of the stage: all fronts that are heard have reported that they are on it
	inForce         *hdrhistogram.Histogram // to the end of the rollout, as the witness heard of it
	inForceSinceDue *hdrhistogram.Histogram // the same, from when the change was due: it waits for the one before
	afterResume     *hdrhistogram.Histogram // from the end of the standstill to each front that was cut off
	missing         int
	rejected        int      // publishes that the leaseholder refused and that were asked again
	rollbackReasons []string // of rollouts that were taken back
}

// measureConfigurations publishes changes at the rate, one after the other, and takes when each was taken up and in force.
func (b *testbed) measureConfigurations(ctx context.Context) ([]Record, error) {
	n := b.options.changes()
	b.options.Progress("%s: %d changes in %v or more", PhaseConfiguration, n, b.options.Duration)
	t := rolloutTimes{adopted: newTimes(), stageDone: newTimes(), inForce: newTimes(), inForceSinceDue: newTimes(), afterResume: newTimes()}
	w := &historyReader{path: b.settings.historyFile(historyOrdinal)}
	by, partial, err := b.measure(ctx, func(ctx context.Context) error {
		began := time.Now()
		for k := range n {
			due := began.Add(b.options.Duration * time.Duration(k) / time.Duration(n))
			if err := b.sleepUntil(ctx, due); err != nil {
				return err
			}
			if err := b.publishAndWait(ctx, k, due, w, &t); err != nil {
				return err
			}
		}
		return b.sleepUntil(ctx, began.Add(b.options.Duration))
	})
	if err != nil {
		return nil, err
	}
	if b.paused != nil {
		partial[RoleSimulatedFollower] = b.paused.name + " stood still for a part of it"
	}
	size := b.options.Size
	all := b.results.changeRecords(size, PhaseConfiguration, n, by, partial)
	all = append(all,
		timeRecord(size, PhaseConfiguration, "from the publish to a hollow front", n, t.adopted, t.missing),
		timeRecord(size, PhaseConfiguration, "the stage is over, from the publish", n, t.stageDone, 0),
		timeRecord(size, PhaseConfiguration, "in force everywhere, from the publish", n, t.inForce, 0),
		timeRecord(size, PhaseConfiguration, "in force everywhere, from when it was due", n, t.inForceSinceDue, 0))
	if b.paused != nil {
		all = append(all, timeRecord(size, PhaseConfiguration, "from the end of the cut to a front that was cut off", n, t.afterResume, 0))
	}
	for i := range all {
		if all[i].Quantiles != nil {
			all[i].Missing += len(t.rollbackReasons)
			all[i].Note = t.note()
		}
	}
	return all, nil
}

// note tells what did not come into force, and why.
func (t *rolloutTimes) note() (text string) {
	if len(t.rollbackReasons) > 0 {
		text = fmt.Sprintf("%d rollouts were taken back, the first since %s", len(t.rollbackReasons), t.rollbackReasons[0])
	}
	if t.rejected > 0 {
		text += fmt.Sprintf("; %d publishes were refused first", t.rejected)
	}
	return strings.TrimPrefix(text, "; ")
}

// publishAndWait makes one change: where some fronts are cut off they stand still until it is in force.
func (b *testbed) publishAndWait(ctx context.Context, k int, due time.Time, w *historyReader, t *rolloutTimes) error {
	if err := b.pauseFollowers(true); err != nil {
		return err
	}
	defer b.pauseFollowers(false)
	asked := time.Now()
	version, err := b.publish(ctx, rulesText(k), t)
	if err != nil {
		return err
	}
	at, err := b.waitInForce(ctx, version, w)
	if err != nil {
		return err
	}
	if at == rolledBack {
		b.options.Progress("version %d was taken back: %s", version, w.rollbackReasons[version])
		t.rollbackReasons = append(t.rollbackReasons, w.rollbackReasons[version])
		return b.pauseFollowers(false)
	}
	if over := w.stageDoneAt[version]; over != 0 {
		t.stageDone.RecordValue(max(1, over-asked.UnixMicro()))
	}
	t.inForce.RecordValue(at - asked.UnixMicro())
	t.inForceSinceDue.RecordValue(at - due.UnixMicro())
	b.options.Progress("version %d is in force after %.2f s", version, float64(at-asked.UnixMicro())/1e6)
	if err := b.pauseFollowers(false); err != nil {
		return err
	}
	return b.waitAdopted(ctx, version, asked.UnixMicro(), nowMicro(), t)
}

// pauseFollowers makes the fronts that are to be cut off stand still, or go on.
func (b *testbed) pauseFollowers(on bool) error {
	if b.paused == nil {
		return nil
	}
	return b.paused.setPaused(on)
}

// publish asks the rollouts' leaseholder until it takes the change up.
func (b *testbed) publish(ctx context.Context, text string, t *rolloutTimes) (version uint64, err error) {
	q := url.Values{"do": {"publish"}, "text": {text}, "waves": {singleStage}, "watch": {"0s"}, "shut_out": {maxFencedPermille}, "must": {strconv.FormatBool(b.options.Mandatory)}}
	for until := time.Now().Add(inForceTimeout); ; {
		var out struct{ Version uint64 }
		err := adminapi.Call(b.settings.adminSocket(rolloutsOrdinal), "POST", "/v1/fleet/roll", q, &out)
		if err == nil {
			return out.Version, nil
		}
		var fault adminapi.RejectedError
		if !errors.As(err, &fault) || time.Now().After(until) {
			return 0, fmt.Errorf("a configuration can't be published: %w", err)
		}
		if t.rejected++; t.rejected == 1 {
			b.options.Progress("refused: %v", err)
		}
		if err := b.sleepUntil(ctx, time.Now().Add(publishInterval)); err != nil {
			return 0, err
		}
	}
}

// waitInForce waits for the end of a version's rollout, and gives its time.
func (b *testbed) waitInForce(ctx context.Context, version uint64, w *historyReader) (at int64, err error) {
	for until := time.Now().Add(inForceTimeout); time.Now().Before(until); {
		if at, err = w.finished(version); at != 0 || err != nil {
			return at, err
		}
		if err := b.sleepUntil(ctx, time.Now().Add(historyInterval)); err != nil {
			return 0, err
		}
	}
	return 0, fmt.Errorf("version %d is not in force after %v: it is %s", version, inForceTimeout, w.lastEntry.Reason)
}

// waitAdopted waits until every hollow front has a version, and takes the times.
func (b *testbed) waitAdopted(ctx context.Context, version uint64, asked, released int64, t *rolloutTimes) error {
	for until := time.Now().Add(arrivalTimeout); ; {
		heard, cut, err := b.pollAdoptions(version)
		if err != nil {
			return err
		}
		lacking := recordTimes(newTimes(), 0, heard) + recordTimes(newTimes(), 0, cut)
		if lacking == 0 || time.Now().After(until) {
			t.missing += recordTimes(t.adopted, asked, heard) + recordTimes(t.afterResume, released, cut)
			return nil
		}
		if err := b.sleepUntil(ctx, time.Now().Add(pollInterval)); err != nil {
			return err
		}
	}
}

// pollAdoptions asks all hollow fronts since when they have a version: those that hear the fleet, and those that were cut off.
func (b *testbed) pollAdoptions(version uint64) (heard, cut []int64, err error) {
	for _, p := range b.simulated {
		r, err := p.call(Request{Operation: opArrivals, Version: version})
		if err != nil {
			return nil, nil, err
		}
		if p == b.paused {
			cut = r.Arrivals
		} else {
			heard = append(heard, r.Arrivals...)
		}
	}
	return heard, cut, nil
}

// historyReader reads the history of the real front that keeps one.
type historyReader struct {
	path            string
	offset          int64              // bytes
	finishedAt      map[uint64]int64   // by version; takenBack for one that did not come into force
	rollbackReasons map[uint64]string  // it was taken back
	stageDoneAt     map[uint64]int64   // when a version's last stage was
	lastEntry       fleet.HistoryEntry // turn of a rollout
}

// What the history says of a rollout that is over.
const (
	rolloutEntryKind = "turned"
	rolloutSteady    = "steady"
	rolloutFinishing = "finishing"
	rolloutGoingBack = "going back"
)

// rolledBack stands for the end of a rollout that did not come into force.
const rolledBack = -1

// finished gives when a version's rollout was over, 0 for not yet.
func (w *historyReader) finished(version uint64) (at int64, err error) {
	if w.finishedAt == nil {
		w.finishedAt, w.rollbackReasons, w.stageDoneAt = map[uint64]int64{}, map[uint64]string{}, map[uint64]int64{}
	}
	f, err := os.Open(w.path)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	if _, err := f.Seek(w.offset, io.SeekStart); err != nil {
		return 0, err
	}
	for r := bufio.NewReader(f); ; {
		line, err := r.ReadBytes('\n')
		if err != nil { // the rest of a line comes later
			return w.finishedAt[version], nil
		}
		w.offset += int64(len(line))
		w.apply(line)
	}
}

func (w *historyReader) apply(line []byte) {
	if !bytes.Contains(line, []byte(rolloutEntryKind)) {
		return
	}
	var m fleet.HistoryEntry
	if json.Unmarshal(line, &m) != nil || m.Kind != rolloutEntryKind {
		return
	}
	was := w.lastEntry
	w.lastEntry = m
	switch m.Name {
	case rolloutGoingBack:
		w.rollbackReasons[m.Term] = m.Reason
	case rolloutFinishing:
		w.stageDoneAt[m.Term] = m.At
	}
	if m.Name == rolloutSteady && was.Term != 0 && was.Term != m.Number {
		w.finishedAt[was.Term] = rolledBack
	}
	if _, ok := w.finishedAt[m.Number]; !ok && m.Name == rolloutSteady {
		w.finishedAt[m.Number] = m.At
	}
}
