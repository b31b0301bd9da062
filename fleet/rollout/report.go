package rollout

import "github.com/vmihailenco/msgpack/v5"

// Report is a front's digest for the Controller.
type Report struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	AdoptedAt       int64  // when it adopted its version, in Unix microseconds of its wall clock, for people
	RejectedVersion uint64 // a version that it can't use
	RejectedReason  string
	ServesIsolated  bool     // it serves on while isolated
	TypesChecksum   uint32   // checksum of its request types: counts of other types are not compared one by one
	Counts          []Counts // by request type, since its process started, on its version; during a rollout only
}

// Counts is how many requests were answered, and how many of these succeeded.
type Counts struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Finished, Succeeded uint64
}

// Encode encodes a report as a digest.
func (report Report) Encode() []byte {
	if len(report.RejectedReason) > 200 {
		report.RejectedReason = report.RejectedReason[:200]
	}
	return encode(&report)
}

// DecodeReport decodes a digest; ok is false where it makes no sense.
func DecodeReport(data []byte) (report Report, ok bool) {
	return report, len(data) > 0 && msgpack.Unmarshal(data, &report) == nil
}
