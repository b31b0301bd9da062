package link

import (
	"bytes"
	"fmt"
	"math"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/gateway"
)

// pinned compares text with a file of testdata, line by line.
func pinned(t *testing.T, file string, got []string) {
	t.Helper()
	want, err := os.ReadFile("testdata/" + file)
	require.NoError(t, err)
	assert.Equal(t, strings.Split(strings.TrimSuffix(string(want), "\n"), "\n"), got)
}

// stream reads the peer's preamble and collects what is written.
type stream struct {
	in  *strings.Reader
	out bytes.Buffer
}

func (s *stream) Read(b []byte) (int, error)  { return s.in.Read(b) }
func (s *stream) Write(b []byte) (int, error) { return s.out.Write(b) }

// fullFrame has every field set, so that the place of each is pinned.
func fullFrame(kind gateway.Kind) gateway.Frame {
	return gateway.Frame{Kind: kind, ID: 1 << 40, Try: 3, Serial: 1 << 33, Group: -7, Wait: 1500 * time.Millisecond, Grant: 2,
		Write: true, After: 1767225600123, Data: []byte("SELECT 1\x00"), Word: gateway.MayHaveRun, Code: "40000", Reason: "reason",
		Come: 250 * time.Millisecond, Role: 1, Place: 1767225600456, Age: 20 * time.Millisecond, Aged: true, Bytes: 1 << 20,
		Epoch: math.MaxUint64, Number: 9, Site: "pokhara"}
}

func TestFramesOnTheWire(t *testing.T) {
	frames := []gateway.Frame{{Kind: gateway.Hello, Site: "kathmandu", Epoch: 7, Number: 1, Bytes: 1 << 20},
		{Kind: gateway.Cross, ID: 5, Try: 1, Serial: 2, Group: 3, Wait: time.Second, Grant: 2, Write: true, After: 17, Data: []byte("SELECT 1\x00")},
		{Kind: gateway.Result, ID: 5, Try: 1, Word: gateway.Served, Data: []byte("row"), Role: 1, Place: 18, Age: time.Millisecond, Aged: true},
		{Kind: gateway.Result, ID: 5, Try: 1, Word: gateway.Rejected, Come: time.Second},
		{Kind: gateway.Result, ID: 5, Try: 1, Word: gateway.MayHaveRun},
		{Kind: gateway.Result, ID: 5, Try: 1, Word: gateway.Senseless, Code: "42601", Reason: "no"},
		{Kind: gateway.Cancel, ID: 5, Try: 1}, {Kind: gateway.Ask, ID: 5, Try: 1, Serial: 2}, {Kind: gateway.Still, ID: 5, Try: 1},
		{Kind: gateway.Never, ID: 5, Try: 1}, {Kind: gateway.Credit, Bytes: 300}, {Kind: gateway.Ping}, {Kind: gateway.Refuse, Reason: "no"}}
	for kind := gateway.Hello; kind <= gateway.Refuse; kind++ {
		frames = append(frames, fullFrame(kind))
	}
	s := &stream{in: strings.NewReader("DRLK\x00\x01")}
	k := NewCodec(s)
	require.NoError(t, k.Greet())
	require.NoError(t, k.Flush())
	got := []string{fmt.Sprintf("preamble %x", s.out.Bytes())}
	for _, f := range frames {
		s.out.Reset()
		require.NoError(t, k.Append(&f))
		require.NoError(t, k.Flush())
		got = append(got, fmt.Sprintf("%d %x", f.Kind, s.out.Bytes()))
		s.in.Reset(s.out.String())
		var back gateway.Frame
		require.NoError(t, k.Read(&back))
		assert.Equal(t, f, back)
	}
	pinned(t, "frames.txt", got)
}

// The core is driven through a script: what it sends, in which order, byte for byte.
func TestFramesOfAScriptedExchange(t *testing.T) {
	const ms = time.Millisecond
	set := gateway.Usual
	set.Heartbeat, set.Silence = 100*ms, 300*ms
	side := gateway.New(set, 100)
	var got []string
	out := func(now time.Duration, event string) {
		for f, ok := side.Frame(now); ok; f, ok = side.Frame(now) {
			s := &stream{}
			k := NewCodec(s)
			require.NoError(t, k.Append(&f))
			require.NoError(t, k.Flush())
			got = append(got, fmt.Sprintf("%s: %x", event, s.out.Bytes()))
		}
		for _, e := range side.Ends() {
			word := gateway.Word(0)
			if e.Result != nil {
				word = e.Result.Word
			}
			got = append(got, fmt.Sprintf("%s: end %d %d never=%t full=%t word=%d took=%v", event, e.ID, e.Try, e.Never, e.Full, word, e.Took))
		}
		for _, s := range side.Starts() {
			got = append(got, fmt.Sprintf("%s: start %d abort=%t %d %v %d %d %q", event, s.Run, s.Abort, s.Group, s.Wait, s.Grant, s.After, s.Data))
		}
	}
	cross := func(now time.Duration, id uint64, try uint32, group int64) {
		side.Cross(now, gateway.Crossing{ID: id, Try: try, Group: group, Until: now + 2*time.Second, Grant: 2, Write: true, After: 17,
			Message: []byte("SELECT 1\x00")})
	}
	take := func(now time.Duration, f gateway.Frame) { require.NoError(t, side.Take(now, &f)) }
	hello := gateway.Frame{Kind: gateway.Hello, Site: "pokhara", Epoch: 7, Number: 1, Bytes: 1 << 20}

	cross(0, 1, 0, 3)
	out(0, "forward before the link is up")
	require.NoError(t, side.Greet(0, &hello, 1, true))
	out(0, "greeted")
	require.NoError(t, side.Take(0, &gateway.Frame{Kind: gateway.Ping}))
	for id := uint64(2); id <= 6; id++ {
		cross(ms, id, 0, int64(id%2))
	}
	out(ms, "five requests of two groups")
	take(2*ms, gateway.Frame{Kind: gateway.Result, ID: 2, Word: gateway.Served, Data: []byte("row")})
	take(2*ms, gateway.Frame{Kind: gateway.Result, ID: 3, Word: gateway.Rejected, Come: time.Second})
	out(2*ms, "two results")
	side.GiveUp(4, 0)
	out(3*ms, "request 4 given up")
	side.Lost(4 * ms)
	out(4*ms, "link lost")
	hello.Number = 2
	side.GiveUp(6, 0)
	require.NoError(t, side.Greet(10*ms, &hello, 2, true))
	out(10*ms, "greeted again")
	take(11*ms, gateway.Frame{Kind: gateway.Never, ID: 5})
	out(11*ms, "never ran")
	take(12*ms, gateway.Frame{Kind: gateway.Cross, ID: 50, Serial: 1, Group: 9, Wait: time.Second, Grant: 1, Write: true, After: 5, Data: []byte("SELECT 2\x00")})
	take(12*ms, gateway.Frame{Kind: gateway.Cross, ID: 51, Serial: 2, Group: 9, Wait: time.Second, Grant: 1, Data: []byte("SELECT 3\x00")})
	out(12*ms, "two requests of the peer")
	take(13*ms, gateway.Frame{Kind: gateway.Ask, ID: 50, Serial: 1})
	out(13*ms, "asked while it runs")
	side.Concluded(20*ms, 1, gateway.Frame{Word: gateway.Served, Data: []byte("row"), Age: 5 * ms, Aged: true, Role: 1, Place: 18})
	out(25*ms, "answered, 5 ms later")
	take(26*ms, gateway.Frame{Kind: gateway.Cancel, ID: 51})
	out(26*ms, "canceled by the peer")
	take(27*ms, gateway.Frame{Kind: gateway.Ask, ID: 60, Serial: 3})
	out(27*ms, "asked of what never came")
	take(30*ms, gateway.Frame{Kind: gateway.Cross, ID: 50, Try: 1, Serial: 4, Group: 9, Wait: time.Second, Grant: 1, Write: true, Data: []byte("SELECT 2\x00")})
	out(30*ms, "a served write comes again")
	require.NoError(t, side.Tick(200*ms))
	out(200*ms, "heartbeat")
	require.Error(t, side.Tick(400*ms))
	out(400*ms, "silence")
	pinned(t, "exchange.txt", got)
}

// What a peer reads when its greeting is refused.
func TestReasonsOfRejectedGreetings(t *testing.T) {
	l, _ := listening(t)
	_, newer := peer(t, l, 5)
	var h gateway.Frame
	require.NoError(t, newer.Read(&h))
	var got []string
	for _, f := range []gateway.Frame{
		{Kind: gateway.Hello, Site: "himal", Epoch: 7, Number: 6, Bytes: gateway.Usual.Credit},
		{Kind: gateway.Ping, Site: "kathmandu", Epoch: 7, Number: 6, Bytes: gateway.Usual.Credit},
		{Kind: gateway.Hello, Site: "kathmandu", Epoch: 7, Number: 6, Bytes: 5},
		{Kind: gateway.Hello, Site: "kathmandu", Number: 6, Bytes: gateway.Usual.Credit},
		{Kind: gateway.Hello, Site: "kathmandu", Epoch: 7, Number: 4, Bytes: gateway.Usual.Credit},
	} {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
		k := NewCodec(c)
		require.NoError(t, k.Greet())
		say(t, k, f)
		h = gateway.Frame{}
		require.NoError(t, k.Read(&h))
		assert.Equal(t, gateway.Refuse, h.Kind)
		got = append(got, h.Reason)
		c.Close()
	}
	pinned(t, "rejections.txt", got)
}
