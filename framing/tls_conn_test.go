package framing

import (
	"crypto/tls"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestTLSConnClosesAtOnceThoughThePeerDoesNotRead(t *testing.T) {
	key, certificate, err := NewKeyPair("a", false, 1)
	require.NoError(t, err)
	pair, err := tls.X509KeyPair(certificate, key)
	require.NoError(t, err)
	local, remote := net.Pipe()
	require.NoError(t, remote.SetDeadline(time.Now().Add(10*time.Second)))
	server := TLSConn{tls.Server(local, &tls.Config{Certificates: []tls.Certificate{pair}, SessionTicketsDisabled: true})}
	client := tls.Client(remote, &tls.Config{InsecureSkipVerify: true})
	handshake := make(chan error, 1)
	go func() { handshake <- server.Handshake() }()
	require.NoError(t, client.Handshake())
	require.NoError(t, <-handshake)
	began := time.Now()
	require.NoError(t, server.Close())
	assert.Less(t, time.Since(began), 2*time.Second)
	_, err = client.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}
