package zones

import (
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Observation is what a front observed of the servers of one zone since its last report.
type Observation struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Succeeded     uint32 // attempts that the server answered, whatever the answer
	Failed        uint32 // attempts that timed out, lost their connection, or ended in an error
	ConnectFailed uint32 // connections that could not be established
	Slow          uint32 // succeeded attempts with several times the usual latency
}

// attempts returns the number of attempts, including connections that could not be established.
func (o Observation) attempts() float64 {
	return float64(o.Succeeded) + float64(o.Failed) + float64(o.ConnectFailed)
}

// failureShare returns the share of attempts that failed. A slow attempt counts as half a failure.
func (o Observation) failureShare() float64 {
	if o.attempts() == 0 {
		return 0
	}
	return (float64(o.Failed) + float64(o.ConnectFailed) + float64(o.Slow)/2) / o.attempts()
}

// conclusive reports whether there were enough attempts to judge the zone.
func (o Observation) conclusive() bool { return o.attempts() >= minAttempts }

// Report is what a front observed of all zones. It is sent as the front's digest; its size is bounded by the number of zones.
type Report struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Zones        []string
	Observations []Observation // in the order of Zones
	Unreliable   bool          // the front was suspended, or is in standby: its observations reflect its own state
}

// Encode encodes the report as a digest: the data that a front sends with its membership records for a subsystem.
func (r Report) Encode() []byte { return encode(&r) }

// DecodeReport decodes a digest. ok is false if it is malformed.
func DecodeReport(data []byte) (r Report, ok bool) {
	ok = len(data) > 0 && msgpack.Unmarshal(data, &r) == nil && len(r.Zones) == len(r.Observations) && len(r.Zones) <= maxZones
	return r, ok
}

// Observer counts what one front observes of zones. The front's core calls its methods, which neither block nor allocate.
type Observer struct {
	zones        []string
	observations []Observation
	latency      []float64 // by zone: decaying mean, in seconds
	failing      []bool    // by zone: whether the last conclusive observation showed it failing
}

// NewObserver makes an Observer. Zones are numbered by their index in zones.
func NewObserver(zones []string) *Observer {
	return &Observer{
		zones:        zones,
		observations: make([]Observation, len(zones)),
		latency:      make([]float64, len(zones)),
		failing:      make([]bool, len(zones)),
	}
}

const (
	slowFactor = 4 // an attempt is slow if its latency exceeds this multiple of the usual one
	// Weights of one attempt in the decaying mean of latency. A latency that stays slow becomes the usual one after some time.
	latencyWeight     = 1.0 / 64
	slowLatencyWeight = 1.0 / 4096
)

// AttemptSucceeded counts an attempt that a server of the zone answered.
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

// TakeReport returns what was observed since the last report. urgent reports that a zone has started or stopped failing, so that the
// report should be sent at once and not with the next periodic one.
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
