package zones

import (
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Observation is what a front observed of one zone's servers since its last report.
type Observation struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Succeeded     uint32 // attempts that the server answered, whatever the answer
	Failed        uint32 // attempts that timed out, lost their connection, or ended in an error
	ConnectFailed uint32 // connections that could not be established
	Slow          uint32 // of those that succeeded: several times the usual latency
}

func (o Observation) attempts() float64 {
	return float64(o.Succeeded) + float64(o.Failed) + float64(o.ConnectFailed)
}

// failureShare is the share of attempts that failed; slow ones count for half.
func (o Observation) failureShare() float64 {
	if o.attempts() == 0 {
		return 0
	}
	return (float64(o.Failed) + float64(o.ConnectFailed) + float64(o.Slow)/2) / o.attempts()
}

// conclusive reports whether there were attempts enough to judge the zone.
func (o Observation) conclusive() bool { return o.attempts() >= minAttempts }

// Report is a front's digest; its size is bounded by the number of zones.
type Report struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Zones        []string
	Observations []Observation // by zone, as Zones
	Unreliable   bool          // the front was suspended, or is in standby: its observations say more of itself
}

// Encode encodes a report as a digest.
func (r Report) Encode() []byte { return encode(&r) }

// DecodeReport decodes a digest; ok is false where it is malformed.
func DecodeReport(data []byte) (r Report, ok bool) {
	ok = len(data) > 0 && msgpack.Unmarshal(data, &r) == nil && len(r.Zones) == len(r.Observations) && len(r.Zones) <= maxZones
	return r, ok
}

// Observer counts what one front observes of zones. Its calls come from the front's core: they neither block nor allocate.
type Observer struct {
	zones        []string
	observations []Observation
	latency      []float64 // by zone: its decaying mean, in seconds
	failing      []bool    // by zone, as of the last report
}

// NewObserver makes an Observer for zones, by the indices that the front uses.
func NewObserver(zones []string) *Observer {
	return &Observer{
		zones:        zones,
		observations: make([]Observation, len(zones)),
		latency:      make([]float64, len(zones)),
		failing:      make([]bool, len(zones)),
	}
}

const (
	slowFactor = 4 // times the usual latency from which an attempt is slow
	// Weights of one attempt in the decaying mean of latency. A zone that stays slow becomes usual, in time.
	latencyWeight     = 1.0 / 64
	slowLatencyWeight = 1.0 / 4096
)

// AttemptSucceeded counts an attempt that the zone's server answered.
func (o *Observer) AttemptSucceeded(zone int, latency time.Duration) {
	counts, mean, x := &o.observations[zone], &o.latency[zone], latency.Seconds()
	counts.Succeeded++
	switch {
	case *mean == 0:
		*mean = x
	case x > slowFactor**mean:
		counts.Slow++
		*mean += (min(x, slowFactor**mean) - *mean) * slowLatencyWeight
	default:
		*mean += (x - *mean) * latencyWeight
	}
}

// AttemptFailed counts an attempt that failed.
func (o *Observer) AttemptFailed(zone int) { o.observations[zone].Failed++ }

// ConnectFailed counts a connection that could not be established.
func (o *Observer) ConnectFailed(zone int) { o.observations[zone].ConnectFailed++ }

// TakeReport returns what was observed since the last report; urgent reports that a zone began or ceased to fail, so that the report
// should not wait for the next heartbeat.
func (o *Observer) TakeReport(unreliable bool) (r Report, urgent bool) {
	r = Report{Zones: o.zones, Observations: slices.Clone(o.observations), Unreliable: unreliable}
	for i, counts := range o.observations {
		if counts.conclusive() {
			failing := counts.failureShare() > suspectThreshold
			urgent = urgent || failing != o.failing[i]
			o.failing[i] = failing
		}
		o.observations[i] = Observation{}
	}
	return r, urgent
}
