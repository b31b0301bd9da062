package audit

import (
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// Subsystem is the subsystem of a front that datagrams of the audit are addressed to.
const Subsystem = "audit"

// FetchRequest asks a front for the names of its closed segments, or for a chunk of a segment's file.
type FetchRequest struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	After  string // in a request for names: only names after this one
	Name   string // of the segment; "" requests names
	Index  bool   // requests a chunk of the index; else of the lines
	Offset int64  // of the chunk in the file, in bytes
}

// FetchResponse is a front's response to a FetchRequest.
type FetchResponse struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Request FetchRequest // the request that it answers
	Names   []string
	Total   int64 // size of the file, in bytes
	Data    []byte
	Removed bool // the front does not have the segment any more
}

// Limits of messages and of the files that they carry.
const (
	ChunkBytes          = 32 << 10 // maximum size of Data in one response
	maxNames            = 64       // maximum number of Names in one response
	maxFileBytes        = 64 << 20 // maximum size of a file that is fetched
	maxSegmentNameBytes = 200
)

// Values of a datagram's first byte, which gives its kind.
const (
	requestKind  = 'q'
	responseKind = 'r'
)

// Encode encodes a request as a datagram.
func (q FetchRequest) Encode() []byte { return encodeDatagram(&q, requestKind) }

// Encode encodes a response as a datagram.
func (r FetchResponse) Encode() []byte { return encodeDatagram(&r, responseKind) }

// encodeDatagram encodes a message after a byte that gives its kind.
func encodeDatagram(x any, kind byte) []byte {
	b, err := msgpack.Marshal(x)
	if err != nil {
		panic("audit: encode a datagram: " + err.Error()) // messages can always be encoded
	}
	return append([]byte{kind}, b...)
}

// DecodeDatagram decodes a datagram. It returns a request or a response, or neither if the datagram is malformed.
func DecodeDatagram(data []byte) (*FetchRequest, *FetchResponse) {
	if len(data) < 2 {
		return nil, nil
	}
	switch data[0] {
	case requestKind:
		var q FetchRequest
		if msgpack.Unmarshal(data[1:], &q) == nil && len(q.Name) < maxSegmentNameBytes && len(q.After) < maxSegmentNameBytes && q.Offset >= 0 {
			return &q, nil
		}
	case responseKind:
		var r FetchResponse
		if msgpack.Unmarshal(data[1:], &r) == nil && len(r.Names) <= maxNames && len(r.Data) <= ChunkBytes && r.Total >= 0 {
			return nil, &r
		}
	}
	return nil, nil
}

// SegmentsAfter returns the names for a response: the closed segments after a name, oldest first, up to the limit of a response. closed
// must be sorted.
func SegmentsAfter(closed []string, after string) []string {
	i, _ := slices.BinarySearch(closed, after)
	for i < len(closed) && closed[i] <= after {
		i++
	}
	return closed[i:min(i+maxNames, len(closed))]
}
