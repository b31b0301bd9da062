// Package link carries a gateway's frames: sockets, heartbeats and reconnects; framing and keys are package framing's. It
// decides nothing: what is sent, what became of it and when a link counts as down stands in package gateway.
package link

import (
	"io"

	"dapplerouter/framing"
	"dapplerouter/gateway"
)

// protocol of the link; docs/gateway-wire.md describes it.
var protocol = framing.Protocol{Magic: [4]byte{'D', 'R', 'L', 'K'}, Version: 1, PeerKind: "gateway", MaxFrameBytes: gateway.MaxDataBytes + 4096}

// Codec writes a gateway's frames to one end of a connection and reads them from it.
type Codec = framing.Codec[gateway.Frame]

// NewCodec makes a Codec.
func NewCodec(rw io.ReadWriter) *Codec { return framing.NewCodec[gateway.Frame](protocol, rw) }
