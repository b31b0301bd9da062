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
	inForceTime  = 2 * time.Minute
	publishEvery = 250 * time.Millisecond
	lookEvery    = 10 * time.Millisecond
)

// One stage with all fronts, not watched: the shortest way that a rollout has. A fifth of the fleet may be fenced at once.
const (
	oneStage    = "1000"
	fencedShare = "200"
)

// rolloutTimes are the times of the configurations of a phase.
type rolloutTimes struct {
	adopted *hdrhistogram.Histogram // from the publish to each hollow front that is not cut off
	allOn   *hdrhistogram.Histogram // to the end of the stage: all fronts that are heard have reported that they are on it
	inForce *hdrhistogram.Histogram // to the end of the rollout, as the witness heard of it
	sinceIt *hdrhistogram.Histogram // the same, from when the change was due: it waits for the one before
	back    *hdrhistogram.Histogram // from the end of the standstill to each front that was cut off
	missing int
	refused int      // publishes that the leaseholder refused and that were asked again
	backWhy []string // of rollouts that were taken back
}

// configurations publishes changes at the rate, one after the other, and takes when each was taken up and in force.
func (b *bench) configurations(ctx context.Context) ([]Record, error) {
	n := b.o.changes()
	b.o.Progress("%s: %d changes in %v or more", Configuration, n, b.o.Duration)
	t := rolloutTimes{adopted: newTimes(), allOn: newTimes(), inForce: newTimes(), sinceIt: newTimes(), back: newTimes()}
	w := &witness{path: b.shared.history(witnessReal)}
	by, partial, err := b.measured(ctx, func(ctx context.Context) error {
		began := time.Now()
		for k := range n {
			due := began.Add(b.o.Duration * time.Duration(k) / time.Duration(n))
			if err := b.wait(ctx, due); err != nil {
				return err
			}
			if err := b.configuration(ctx, k, due, w, &t); err != nil {
				return err
			}
		}
		return b.wait(ctx, began.Add(b.o.Duration))
	})
	if err != nil {
		return nil, err
	}
	if b.cutOff != nil {
		partial[HollowFollower] = b.cutOff.name + " stood still for a part of it"
	}
	size := b.o.Size
	all := b.results.perChange(size, Configuration, n, by, partial)
	all = append(all,
		times(size, Configuration, "from the publish to a hollow front", n, t.adopted, t.missing),
		times(size, Configuration, "the stage is over, from the publish", n, t.allOn, 0),
		times(size, Configuration, "in force everywhere, from the publish", n, t.inForce, 0),
		times(size, Configuration, "in force everywhere, from when it was due", n, t.sinceIt, 0))
	if b.cutOff != nil {
		all = append(all, times(size, Configuration, "from the end of the cut to a front that was cut off", n, t.back, 0))
	}
	for i := range all {
		if all[i].Quantiles != nil {
			all[i].Missing += len(t.backWhy)
			all[i].Note = t.note()
		}
	}
	return all, nil
}

// note tells what did not come into force, and why.
func (t *rolloutTimes) note() (text string) {
	if len(t.backWhy) > 0 {
		text = fmt.Sprintf("%d rollouts were taken back, the first since %s", len(t.backWhy), t.backWhy[0])
	}
	if t.refused > 0 {
		text += fmt.Sprintf("; %d publishes were refused first", t.refused)
	}
	return strings.TrimPrefix(text, "; ")
}

// configuration makes one change: where some fronts are cut off they stand still until it is in force.
func (b *bench) configuration(ctx context.Context, k int, due time.Time, w *witness, t *rolloutTimes) error {
	if err := b.cut(true); err != nil {
		return err
	}
	defer b.cut(false)
	asked := time.Now()
	version, err := b.publish(ctx, rulesText(k), t)
	if err != nil {
		return err
	}
	at, err := b.inForce(ctx, version, w)
	if err != nil {
		return err
	}
	if at == takenBack {
		b.o.Progress("version %d was taken back: %s", version, w.why[version])
		t.backWhy = append(t.backWhy, w.why[version])
		return b.cut(false)
	}
	if over := w.over[version]; over != 0 {
		t.allOn.RecordValue(max(1, over-asked.UnixMicro()))
	}
	t.inForce.RecordValue(at - asked.UnixMicro())
	t.sinceIt.RecordValue(at - due.UnixMicro())
	b.o.Progress("version %d is in force after %.2f s", version, float64(at-asked.UnixMicro())/1e6)
	if err := b.cut(false); err != nil {
		return err
	}
	return b.taken(ctx, version, asked.UnixMicro(), nowMicro(), t)
}

// cut makes the fronts that are to be cut off stand still, or go on.
func (b *bench) cut(on bool) error {
	if b.cutOff == nil {
		return nil
	}
	return b.cutOff.hold(on)
}

// publish asks the rollouts' leaseholder until it takes the change up.
func (b *bench) publish(ctx context.Context, text string, t *rolloutTimes) (version uint64, err error) {
	q := url.Values{"do": {"publish"}, "text": {text}, "waves": {oneStage}, "watch": {"0s"}, "shut_out": {fencedShare}, "must": {strconv.FormatBool(b.o.Must)}}
	for until := time.Now().Add(inForceTime); ; {
		var out struct{ Version uint64 }
		err := adminapi.Call(b.shared.socket(rolloutsReal), "POST", "/v1/fleet/roll", q, &out)
		if err == nil {
			return out.Version, nil
		}
		var fault adminapi.RejectedError
		if !errors.As(err, &fault) || time.Now().After(until) {
			return 0, fmt.Errorf("a configuration can't be published: %w", err)
		}
		if t.refused++; t.refused == 1 {
			b.o.Progress("refused: %v", err)
		}
		if err := b.wait(ctx, time.Now().Add(publishEvery)); err != nil {
			return 0, err
		}
	}
}

// inForce waits for the end of a version's rollout, and gives its time.
func (b *bench) inForce(ctx context.Context, version uint64, w *witness) (at int64, err error) {
	for until := time.Now().Add(inForceTime); time.Now().Before(until); {
		if at, err = w.steady(version); at != 0 || err != nil {
			return at, err
		}
		if err := b.wait(ctx, time.Now().Add(lookEvery)); err != nil {
			return 0, err
		}
	}
	return 0, fmt.Errorf("version %d is not in force after %v: it is %s", version, inForceTime, w.last.Reason)
}

// taken waits until every hollow front has a version, and takes the times.
func (b *bench) taken(ctx context.Context, version uint64, asked, released int64, t *rolloutTimes) error {
	for until := time.Now().Add(arriveTime); ; {
		heard, cut, err := b.taking(version)
		if err != nil {
			return err
		}
		lacking := take(newTimes(), 0, heard) + take(newTimes(), 0, cut)
		if lacking == 0 || time.Now().After(until) {
			t.missing += take(t.adopted, asked, heard) + take(t.back, released, cut)
			return nil
		}
		if err := b.wait(ctx, time.Now().Add(pollEvery)); err != nil {
			return err
		}
	}
}

// taking asks all hollow fronts since when they have a version: those that hear the fleet, and those that were cut off.
func (b *bench) taking(version uint64) (heard, cut []int64, err error) {
	for _, p := range b.hollow {
		r, err := p.ask(Request{Do: doArrivals, Version: version})
		if err != nil {
			return nil, nil, err
		}
		if p == b.cutOff {
			cut = r.Arrivals
		} else {
			heard = append(heard, r.Arrivals...)
		}
	}
	return heard, cut, nil
}

// witness reads the history of the real front that keeps one.
type witness struct {
	path string
	read int64              // bytes
	ends map[uint64]int64   // by version; takenBack for one that did not come into force
	why  map[uint64]string  // it was taken back
	over map[uint64]int64   // when a version's last stage was
	last fleet.HistoryEntry // turn of a rollout
}

// What the history says of a rollout that is over.
const (
	turnedMoment = "turned"
	steadyPhase  = "steady"
	finishPhase  = "finishing"
	backPhase    = "going back"
)

// takenBack stands for the end of a rollout that did not come into force.
const takenBack = -1

// steady gives when a version's rollout was over, 0 for not yet.
func (w *witness) steady(version uint64) (at int64, err error) {
	if w.ends == nil {
		w.ends, w.why, w.over = map[uint64]int64{}, map[uint64]string{}, map[uint64]int64{}
	}
	f, err := os.Open(w.path)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	if _, err := f.Seek(w.read, io.SeekStart); err != nil {
		return 0, err
	}
	for r := bufio.NewReader(f); ; {
		line, err := r.ReadBytes('\n')
		if err != nil { // the rest of a line comes later
			return w.ends[version], nil
		}
		w.read += int64(len(line))
		w.take(line)
	}
}

func (w *witness) take(line []byte) {
	if !bytes.Contains(line, []byte(turnedMoment)) {
		return
	}
	var m fleet.HistoryEntry
	if json.Unmarshal(line, &m) != nil || m.Kind != turnedMoment {
		return
	}
	was := w.last
	w.last = m
	switch m.Name {
	case backPhase:
		w.why[m.Term] = m.Reason
	case finishPhase:
		w.over[m.Term] = m.At
	}
	if m.Name == steadyPhase && was.Term != 0 && was.Term != m.Number {
		w.ends[was.Term] = takenBack
	}
	if _, ok := w.ends[m.Number]; !ok && m.Name == steadyPhase {
		w.ends[m.Number] = m.At
	}
}
