package link

import (
	"io"

	"dapplerouter/framing"
	"dapplerouter/gateway"
)

// protocol is the protocol of the link; docs/gateway-wire.md describes it.
var protocol = framing.Protocol{Magic: [4]byte{'D', 'R', 'L', 'K'}, Version: 1, PeerKind: "gateway", MaxFrameBytes: gateway.MaxDataBytes + 4096}

// Codec writes frames of the link to a connection and reads them from it.
type Codec = framing.Codec[gateway.Frame]

// NewCodec returns a Codec for a connection whose preambles are not exchanged yet.
func NewCodec(rw io.ReadWriter) *Codec { return framing.NewCodec[gateway.Frame](protocol, rw) }
