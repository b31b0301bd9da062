package gateway

import (
	"errors"
	"fmt"
	"time"
)

// Settings are what an operator may set for a link; each field has the name of its form in the operator's file.
type Settings struct {
	HeartbeatInterval time.Duration // heartbeat: the longest time without a frame sent
	PeerTimeout       time.Duration // silence: without a frame for so long, the link is down
	RecoveryTimeout   time.Duration // recover: how long a request's outcome may stay unknown
	OutcomeRetention  time.Duration // retain: how long outcomes are retained at least; no idempotency window may be longer
	MaxInFlight       int           // crossings: requests in flight, for each direction
	CreditBytes       int64         // credit: bytes of requests and results that the peer may have in flight to us
	RetainedBytes     int64         // kept: bytes of retained outcomes
}

// DefaultSettings suit a link with a round trip of up to some 100 ms.
var DefaultSettings = Settings{HeartbeatInterval: 200 * time.Millisecond, PeerTimeout: 700 * time.Millisecond,
	RecoveryTimeout: time.Second, OutcomeRetention: 5 * time.Second, MaxInFlight: 1024, CreditBytes: 1 << 20, RetainedBytes: 4 << 20}

// ErrInvalidSettings is wrapped by the errors of Settings.Check.
var ErrInvalidSettings = errors.New("invalid link settings")

// Check returns an error that wraps ErrInvalidSettings where settings contradict each other.
func (s *Settings) Check() error {
	switch {
	case s.HeartbeatInterval <= 0 || s.PeerTimeout < 2*s.HeartbeatInterval:
		return fmt.Errorf("%w: silence (%v) must be at least twice the heartbeat (%v), or one late heartbeat ends the link",
			ErrInvalidSettings, s.PeerTimeout, s.HeartbeatInterval)
	case s.OutcomeRetention < 2*s.RecoveryTimeout+s.PeerTimeout:
		return fmt.Errorf("%w: retain (%v) must be at least twice recover (%v) plus silence (%v), or an outcome may be forgotten before it is requested",
			ErrInvalidSettings, s.OutcomeRetention, s.RecoveryTimeout, s.PeerTimeout)
	case s.MaxInFlight < 1 || s.CreditBytes < MaxDataBytes+frameOverhead || s.RetainedBytes < MaxDataBytes:
		return fmt.Errorf("%w: crossings, credit and kept must allow one request of %d bytes", ErrInvalidSettings, MaxDataBytes)
	}
	return nil
}
