package capacity

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestUnknownWorkerKind(t *testing.T) {
	require.ErrorIs(t, Work("nothing", strings.NewReader(""), io.Discard), ErrUnknownWorker)
}

func TestUnknownOperation(t *testing.T) {
	for name, w := range map[string]worker{"followers": &followerHost{}, "discovery": &discoveryServer{}, "databases": &databaseHost{}} {
		t.Run(name, func(t *testing.T) {
			_, err := w.serve(Request{Operation: "nothing"})
			require.ErrorIs(t, err, ErrUnknownOperation)
		})
	}
}

func TestMissingField(t *testing.T) {
	path := filepath.Join(t.TempDir(), "status")
	require.NoError(t, os.WriteFile(path, []byte("VmSize: 7 kB\n"), 0o600))
	_, err := readField(path, "VmRSS:")
	require.ErrorIs(t, err, ErrFieldMissing)
}

// fakeProcess returns a worker process that seems to run. It discards requests. Its replies are what the test writes to the returned
// pipe.
func fakeProcess(t *testing.T) (*process, *io.PipeWriter) {
	t.Helper()
	requests, in := io.Pipe()
	out, replies := io.Pipe()
	go func() { _, _ = io.Copy(io.Discard, requests) }()
	t.Cleanup(func() {
		_ = in.Close()
		_ = replies.Close()
	})
	return &process{name: "hollow-1", exited: make(chan struct{}), in: in, replies: json.NewDecoder(out)}, replies
}

func TestWorkerErrorNamesItsProcess(t *testing.T) {
	p, replies := fakeProcess(t)
	go func() { _, _ = io.WriteString(replies, `{"fault":"no such operation"}`+"\n") }()
	_, err := p.call(Request{Operation: opCounters})
	var failed *WorkerError
	require.ErrorAs(t, err, &failed)
	assert.Equal(t, WorkerError{Worker: "hollow-1", Message: "no such operation"}, *failed)
	assert.EqualError(t, err, "hollow-1: no such operation")
}

func TestWorkerThatDoesNotReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := fakeProcess(t)
		_, err := p.call(Request{Operation: opCounters})
		require.ErrorIs(t, err, ErrNoReply)
		assert.ErrorContains(t, err, "hollow-1: request counters")
	})
}

func TestExitedWorkerIsReportedAsSuch(t *testing.T) {
	p, replies := fakeProcess(t)
	p.exitStatus = "signal: killed"
	close(p.exited)
	require.NoError(t, replies.Close())
	_, err := p.call(Request{Operation: opCounters})
	var exited *ProcessExitError
	require.ErrorAs(t, err, &exited)
	assert.Equal(t, ProcessExitError{Process: "hollow-1", Exit: "signal: killed"}, *exited)
}

func TestConfigurationNotInForceInTime(t *testing.T) {
	path := filepath.Join(t.TempDir(), "history")
	require.NoError(t, os.WriteFile(path, nil, 0o600))
	synctest.Test(t, func(t *testing.T) {
		p := &configurationPhase{testbed: &testbed{}, history: newHistoryReader(path)}
		_, err := p.waitInForce(context.Background(), 1)
		require.ErrorIs(t, err, ErrNotInForce)
	})
}

func TestFleetThatDoesNotConverge(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		p, _ := fakeProcess(t)
		b := &testbed{options: Options{Size: Size{Fronts: realFronts}, Progress: t.Logf}, settings: RunSettings{Dir: dir}, real: []*process{p}}
		err := b.waitConverged(context.Background())
		require.ErrorIs(t, err, ErrNotConverged)
		assert.ErrorContains(t, err, "n1 has no control socket yet")
	})
}
