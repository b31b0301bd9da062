package link

import (
	"bytes"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/front"
	"dapplerouter/gateway"
	"dapplerouter/pgwire"
)

type steady struct{ born time.Time }

func (s steady) Now() time.Duration      { return time.Since(s.born) }
func (s steady) Set(time.Duration)       {}
func (s steady) Rings() <-chan time.Time { return nil }

// listening makes a link that a scripted peer dials; what it passes to its front is kept.
func listening(t *testing.T) (l *Link, posted func() []front.Event) {
	var mu sync.Mutex
	var all []front.Event
	l, err := New(Options{Here: "pokhara", Peer: "kathmandu", Listen: "127.0.0.1:0", Settings: gateway.Usual, Epoch: 5,
		Clock: steady{time.Now()}, Parse: pgwire.ParseStatement,
		Post: func(e front.Event) { mu.Lock(); all = append(all, e); mu.Unlock() }})
	require.NoError(t, err)
	l.Run()
	t.Cleanup(l.Close)
	return l, func() []front.Event { mu.Lock(); defer mu.Unlock(); return append([]front.Event{}, all...) }
}

// peer is a scripted one, past its greeting.
func peer(t *testing.T, l *Link, number uint64) (net.Conn, *Codec) {
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	k := NewCodec(c)
	require.NoError(t, k.Greet())
	say(t, k, gateway.Frame{Kind: gateway.Hello, Site: "kathmandu", Epoch: 7, Number: number, Bytes: gateway.Usual.Credit})
	return c, k
}

func say(t *testing.T, k *Codec, f gateway.Frame) {
	require.NoError(t, k.Append(&f))
	require.NoError(t, k.Flush())
}

func TestAPeerWithoutSenseLosesItsConnectionAndNothingElse(t *testing.T) {
	l, posted := listening(t)
	statement := append([]byte("SELECT 'x' /* id=a,c=browse,d=500,cluster=1 */"), 0)
	for i, f := range []gateway.Frame{
		{Kind: 99},
		{Kind: gateway.Credit, Bytes: 1 << 40},
		{Kind: gateway.Credit, Bytes: -1},
		{Kind: gateway.Cross, ID: 1, Serial: 1, Wait: time.Second, Grant: 1},
		{Kind: gateway.Cross, ID: 1, Serial: 0, Wait: time.Second, Grant: 1, Data: statement},
		{Kind: gateway.Hello},
	} {
		c, k := peer(t, l, uint64(10+i))
		var h gateway.Frame
		require.NoError(t, k.Read(&h))
		require.Equal(t, gateway.Hello, h.Kind)
		say(t, k, f)
		for k.Read(&h) == nil { // a ping may come first
		}
		c.Close()
	}
	// Results for crossings that nobody sent, cancels and questions of what never came, are no nonsense: they may be late.
	_, k := peer(t, l, 100)
	var h gateway.Frame
	require.NoError(t, k.Read(&h))
	say(t, k, gateway.Frame{Kind: gateway.Result, ID: 77, Word: gateway.Served, Data: []byte("x")})
	say(t, k, gateway.Frame{Kind: gateway.Cancel, ID: 78})
	say(t, k, gateway.Frame{Kind: gateway.Ask, ID: 79, Try: 1, Serial: 9})
	for h.Kind != gateway.Never {
		require.NoError(t, k.Read(&h))
	}
	assert.EqualValues(t, 79, h.ID)
	for _, e := range posted() {
		_, arrival := e.(*front.Arrival)
		assert.False(t, arrival, "nothing of it reached the front")
	}
}

// An old connection revives beside the new one: it is refused, and the new one lives.
func TestAnOlderConnectionIsRefusedAndTheNewerOneLives(t *testing.T) {
	l, _ := listening(t)
	_, newer := peer(t, l, 5)
	var h gateway.Frame
	require.NoError(t, newer.Read(&h))
	_, older := peer(t, l, 4)
	require.NoError(t, older.Read(&h))
	assert.Equal(t, gateway.Refuse, h.Kind)
	assert.Contains(t, h.Reason, "older than 5")
	say(t, newer, gateway.Frame{Kind: gateway.Ask, ID: 1, Try: 1, Serial: 1})
	for h.Kind != gateway.Never {
		require.NoError(t, newer.Read(&h))
	}
}

func TestAnotherVersionAndAnotherProgramAreToldClearly(t *testing.T) {
	l, _ := listening(t)
	for first, want := range map[string]string{"DRLK\x00\x09": "version 9", "GET / ": "no gateway"} {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		k := NewCodec(&other{Conn: c, first: first})
		err = k.Greet()
		c.Close()
		require.NoError(t, err, "the listener speaks its own version first")
		a, b := net.Pipe()
		go func() { b.Write([]byte(first)); b.Read(make([]byte, 6)) }()
		go b.Read(make([]byte, 6))
		assert.ErrorContains(t, NewCodec(a).Greet(), want)
		a.Close()
	}
}

// other writes another greeting than it is given.
type other struct {
	net.Conn
	first string
}

func (o *other) Write(b []byte) (int, error) { o.Conn.Write([]byte(o.first)); return len(b), nil }

func TestKeysAreMadeSignedAndChecked(t *testing.T) {
	dir := t.TempDir()
	put := func(name string, data []byte) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, data, 0o600))
		return path
	}
	rootKey, root, err := NewKey("himal", true, 100)
	require.NoError(t, err)
	key, own, err := NewKey("pokhara", false, 50)
	require.NoError(t, err)
	signed, err := Sign(own, root, rootKey, 20)
	require.NoError(t, err)
	_, err = Sign(own, own, key, 20)
	assert.ErrorContains(t, err, "no root")
	f := Files{Key: put("k", key), Certificate: put("c", signed), Trust: put("t", root)}
	ends, err := f.Check(time.Now())
	require.NoError(t, err)
	assert.WithinDuration(t, time.Now().AddDate(0, 0, 20), ends, time.Hour)
	_, err = f.Check(time.Now().AddDate(0, 0, 21))
	assert.ErrorContains(t, err, "make a new one")
	f.Trust = put("e", nil)
	_, err = f.Check(time.Now())
	assert.ErrorContains(t, err, "holds no certificate")

	// A key of the right name that nobody trusts, and a trusted one of another name, are refused.
	ours := Files{Key: f.Key, Certificate: f.Certificate, Trust: put("r", root)}
	good, err := ours.Config("kathmandu")
	require.NoError(t, err)
	_, strange, err := NewKey("kathmandu", false, 50)
	require.NoError(t, err)
	block := func(data []byte) [][]byte {
		all, err := Parse(data)
		require.NoError(t, err)
		return [][]byte{all[0].Raw}
	}
	assert.ErrorContains(t, good.VerifyPeerCertificate(block(strange), nil), "unknown authority")
	assert.ErrorContains(t, good.VerifyPeerCertificate(block(signed), nil), "kathmandu was expected")
	trusted, err := Sign(strange, root, rootKey, 20)
	require.NoError(t, err)
	assert.NoError(t, good.VerifyPeerCertificate(block(trusted), nil))
}

func TestACertificateThatEndsSoonIsToldDaysBefore(t *testing.T) {
	var said bytes.Buffer
	before := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&said, nil)))
	defer slog.SetDefault(before)
	Files{}.warn(time.Now().AddDate(0, 0, 30))
	assert.Empty(t, said.String())
	Files{Certificate: "c"}.warn(time.Now().AddDate(0, 0, 3))
	assert.Contains(t, said.String(), "a certificate ends soon")
}
