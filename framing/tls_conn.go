package framing

import "crypto/tls"

// TLSConn is a TLS connection whose Close never blocks.
type TLSConn struct{ *tls.Conn }

// Close closes the connection below TLS. It does not send TLS's close_notify first, whose write waits up to 5 s for a peer that does not
// read. Frames have a length and a checksum, so the peer cannot take a truncated frame for a complete one.
func (c TLSConn) Close() error { return c.NetConn().Close() }
