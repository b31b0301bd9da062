package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestConnectionErrorsCanBeDistinguished(t *testing.T) {
	e := connectedEndpoint(t, 5)
	hello := func(epoch, number uint64) *Frame {
		return &Frame{Kind: FrameHello, Epoch: epoch, ConnectionNumber: number, CreditBytes: 1 << 20}
	}
	var rejected *HelloError
	err := e.AcceptHello(0, hello(7, 4), 4, true)
	require.ErrorAs(t, err, &rejected)
	assert.ErrorIs(t, err, ErrStaleConnection)
	assert.Contains(t, rejected.Reason, "older than 5")
	assert.ErrorIs(t, e.AcceptHello(0, hello(0, 6), 6, true), ErrProtocol)
	assert.Equal(t, Up, e.State(), "a rejected hello changes nothing")

	for name, f := range map[string]Frame{
		"unknown kind": {Kind: 99}, "credit beyond what is in flight": {Kind: FrameCredit, CreditBytes: 1}, "second hello": {Kind: FrameHello},
		"request without serial": {Kind: FrameForward, ID: 1, Timeout: time.Second, MaxAttempts: 1, Data: []byte{1}},
	} {
		assert.ErrorIs(t, e.Receive(0, &f), ErrProtocol, name)
	}
	assert.ErrorIs(t, e.Tick(smallSettings.PeerTimeout), ErrPeerTimeout)
	assert.ErrorIs(t, e.Receive(0, &Frame{Kind: FramePing}), ErrProtocol, "no connection")
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	good := DefaultSettings
	require.NoError(t, good.Check())
	for name, change := range map[string]func(*Settings){
		"silence below two heartbeats": func(s *Settings) { s.PeerTimeout = 2*s.HeartbeatInterval - 1 },
		"retain below recovery":        func(s *Settings) { s.OutcomeRetention = 2*s.RecoveryTimeout + s.PeerTimeout - 1 },
		"credit below one request":     func(s *Settings) { s.CreditBytes = MaxDataBytes },
		"no request in flight":         func(s *Settings) { s.MaxInFlight = 0 },
	} {
		s := DefaultSettings
		change(&s)
		assert.ErrorIs(t, s.Check(), ErrInvalidSettings, name)
	}
}
