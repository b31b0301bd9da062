package rollout

import "github.com/vmihailenco/msgpack/v5"

// maxReasonBytes is the length to which a report's reason is cut, since reports go up with every heartbeat.
const maxReasonBytes = 200

// Report is a front's digest for the Controller.
type Report struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	AdoptedAt       int64  // when it adopted its version, in Unix microseconds of its wall clock, for people
	RejectedVersion uint64 // a version that it can't use
	RejectedReason  string
	ServesIsolated  bool     // it serves on while isolated
	TypesChecksum   uint32   // of its request types: counts of other types are not compared one by one
	Counts          []Counts // by request type, since its process started, on its version; during a rollout only
}

// Counts is how many requests were answered, and how many of these succeeded.
type Counts struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Finished, Succeeded uint64
}

// failures is how many requests were answered and did not succeed.
func (c Counts) failures() uint64 { return c.Finished - c.Succeeded }

// add adds other counts of the same request type.
func (c *Counts) add(other Counts) {
	c.Finished += other.Finished
	c.Succeeded += other.Succeeded
}

// Encode encodes a report as a digest.
func (report Report) Encode() []byte {
	if len(report.RejectedReason) > maxReasonBytes {
		report.RejectedReason = report.RejectedReason[:maxReasonBytes]
	}
	return encode(&report)
}

// DecodeReport decodes a digest; ok is false where it is malformed.
func DecodeReport(data []byte) (report Report, ok bool) {
	return report, len(data) > 0 && msgpack.Unmarshal(data, &report) == nil
}
