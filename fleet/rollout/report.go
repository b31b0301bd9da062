package rollout

import "github.com/vmihailenco/msgpack/v5"

// maxReasonBytes is the length to which the reason in a report is cut, because a report is sent with every membership record.
const maxReasonBytes = 200

// Report is what a front tells the Controller about itself. It is sent as the front's digest, with its membership records.
type Report struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	AdoptedAt       int64  // when the front adopted its version, in Unix microseconds of its wall clock; for display only
	RejectedVersion uint64 // a version that the front can't use, 0 for none
	RejectedReason  string
	ServesIsolated  bool     // the front keeps serving while isolated
	TypesChecksum   uint32   // of the front's request types; counts under different checksums are not compared
	Counts          []Counts // by request type, for the front's version since its process started; during a rollout only
}

// Counts is the number of requests that were answered, and the number of those that succeeded.
type Counts struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Finished, Succeeded uint64
}

// failures returns the number of requests that were answered and did not succeed.
func (c Counts) failures() uint64 { return c.Finished - c.Succeeded }

// add adds other counts of the same request type.
func (c *Counts) add(other Counts) {
	c.Finished += other.Finished
	c.Succeeded += other.Succeeded
}

// Encode encodes the report as a digest: the data that a front sends with its membership records for a subsystem. A RejectedReason
// over maxReasonBytes is cut.
func (report Report) Encode() []byte {
	if len(report.RejectedReason) > maxReasonBytes {
		report.RejectedReason = report.RejectedReason[:maxReasonBytes]
	}
	return encode(&report)
}

// DecodeReport decodes a digest. ok is false if it is malformed.
func DecodeReport(data []byte) (report Report, ok bool) {
	return report, len(data) > 0 && msgpack.Unmarshal(data, &report) == nil
}
