package gateway

import (
	"errors"
	"fmt"
	"time"
)

// Settings are the settings of a link. The comment of each field begins with the name of its form in the operator's file.
type Settings struct {
	HeartbeatInterval time.Duration // heartbeat: longest time without sending a frame
	PeerTimeout       time.Duration // silence: the link is down after this time without receiving a frame
	RecoveryTimeout   time.Duration // recover: longest time that the outcome of a request may stay unknown
	OutcomeRetention  time.Duration // retain: shortest time that outcomes are retained; no idempotency window may be longer
	MaxInFlight       int           // crossings: maximum number of requests in flight, in each direction
	CreditBytes       int64         // credit: bytes of requests and results that the peer may have in flight to this instance
	MaxRetainedBytes  int64         // kept: maximum size of the retained outcomes in bytes
}

// DefaultSettings are suitable for a link with a round trip of up to about 100 ms.
var DefaultSettings = Settings{HeartbeatInterval: 200 * time.Millisecond, PeerTimeout: 700 * time.Millisecond,
	RecoveryTimeout: time.Second, OutcomeRetention: 5 * time.Second, MaxInFlight: 1024, CreditBytes: 1 << 20, MaxRetainedBytes: 4 << 20}

// ErrInvalidSettings is wrapped by every error of Settings.Check.
var ErrInvalidSettings = errors.New("invalid link settings")

// Check returns an error that wraps ErrInvalidSettings if settings contradict each other.
func (s *Settings) Check() error {
	switch {
	case s.HeartbeatInterval <= 0 || s.PeerTimeout < 2*s.HeartbeatInterval:
		return fmt.Errorf("%w: silence (%v) must be at least twice the heartbeat (%v), or one late heartbeat ends the link",
			ErrInvalidSettings, s.PeerTimeout, s.HeartbeatInterval)
	case s.OutcomeRetention < 2*s.RecoveryTimeout+s.PeerTimeout:
		return fmt.Errorf("%w: retain (%v) must be at least twice recover (%v) plus silence (%v), "+
			"or an outcome may be evicted before it is requested", ErrInvalidSettings, s.OutcomeRetention, s.RecoveryTimeout, s.PeerTimeout)
	case s.MaxInFlight < 1 || s.CreditBytes < MaxDataBytes+frameOverhead || s.MaxRetainedBytes < MaxDataBytes:
		return fmt.Errorf("%w: crossings, credit and kept must allow one request of %d bytes", ErrInvalidSettings, MaxDataBytes)
	}
	return nil
}
