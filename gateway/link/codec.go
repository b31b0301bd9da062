package link

import (
	"io"

	"dapplerouter/framing"
	"dapplerouter/gateway"
)

// protocol has the parameters of the link's framing. docs/gateway-wire.md describes the protocol.
var protocol = framing.Protocol{Magic: [4]byte{'D', 'R', 'L', 'K'}, Version: 1, PeerKind: "gateway", MaxFrameBytes: gateway.MaxDataBytes + 4096}

// Codec writes frames of a link to a connection and reads them from it.
type Codec = framing.Codec[gateway.Frame]

// NewCodec returns a Codec for a connection on which the preambles have not been exchanged yet.
func NewCodec(rw io.ReadWriter) *Codec { return framing.NewCodec[gateway.Frame](protocol, rw) }
