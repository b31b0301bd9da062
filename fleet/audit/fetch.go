package audit

import (
	"slices"

	"github.com/vmihailenco/msgpack/v5"
)

// Part is the part of a front that datagrams of the audit are addressed to.
const Part = "audit"

// FetchRequest asks a front for the names of its closed segments, or for a chunk of a segment's file.
type FetchRequest struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	After  string // for names: those after this one
	Name   string // of the segment; "" asks for names
	Index  bool   // a chunk of the index; else of the lines
	Offset int64  // of the chunk, in bytes
}

// FetchResponse is a front's answer.
type FetchResponse struct {
	//lint:ignore U1000 package msgpack reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Request FetchRequest // that it answers
	Names   []string
	Total   int64 // size of the file, in bytes
	Data    []byte
	Removed bool // the segment is not there any more
}

// Limits of messages.
const (
	ChunkBytes         = 32 << 10 // the most of a file in one response
	maxNames           = 64       // in one response
	maxFileBytes       = 64 << 20 // of a segment that is fetched
	maxSegmentNameSize = 200
)

// Kinds of a datagram, its first byte.
const (
	requestKind  = 'q'
	responseKind = 'r'
)

// Encode encodes a request as a datagram.
func (q FetchRequest) Encode() []byte { return encodeDatagram(&q, requestKind) }

// Encode encodes a response as a datagram.
func (r FetchResponse) Encode() []byte { return encodeDatagram(&r, responseKind) }

func encodeDatagram(x any, kind byte) []byte {
	b, err := msgpack.Marshal(x)
	if err != nil {
		panic("audit: encode a datagram: " + err.Error()) // neither type has a field that can't be encoded
	}
	return append([]byte{kind}, b...)
}

// DecodeDatagram decodes a datagram: a request, a response, or neither where it is malformed.
func DecodeDatagram(data []byte) (*FetchRequest, *FetchResponse) {
	if len(data) < 2 {
		return nil, nil
	}
	switch data[0] {
	case requestKind:
		var q FetchRequest
		if msgpack.Unmarshal(data[1:], &q) == nil && len(q.Name) < maxSegmentNameSize && len(q.After) < maxSegmentNameSize && q.Offset >= 0 {
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

// SegmentsAfter returns the names for a response: of the closed segments, oldest first, the next ones after a name.
func SegmentsAfter(closed []string, after string) []string {
	i, _ := slices.BinarySearch(closed, after)
	for i < len(closed) && closed[i] <= after {
		i++
	}
	return closed[i:min(i+maxNames, len(closed))]
}
