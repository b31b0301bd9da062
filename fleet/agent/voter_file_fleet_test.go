package agent

import (
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/deployment"
	"dapplerouter/discovery"
	"dapplerouter/fleet"
	"dapplerouter/front"
)

// reserveAddress returns a local address on which nothing listens now.
func reserveAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return l.Addr().String()
}

// startMember starts the agent of a voter of a fleet. Its file is in dir.
func startMember(t *testing.T, dir string, self fleet.Voter, voters []fleet.Voter) *Agent {
	t.Helper()
	ignore := func(front.Event) {}
	directory := discovery.NewWatcher(t.Context(), discovery.NewClient("127.0.0.1:1", 0), func(discovery.Update) {}, discovery.NewJitter(1))
	start := &deployment.Instance{Name: self.Name, Discovery: "127.0.0.1:1", Settings: &deployment.Settings{}, Seed: uint64(self.Name[1])}
	config := &fleet.Config{ID: "f", Listen: self.Address, Address: self.Address, InitialVoters: voters, VoterPath: filepath.Join(dir, self.Name+".db"),
		LeaseDuration: 600 * time.Millisecond, AcceptsLeases: true}
	a, err := New(Config{Fleet: config}, start, directory, "0.3.0")
	require.NoError(t, err)
	began := time.Now()
	a.Clock, a.StartedAt, a.Post = func() time.Duration { return time.Since(began) }, began, ignore
	a.Prober.post = ignore
	require.NoError(t, a.Start())
	return a
}

// A voter whose file fails at a restart joins the other two soon after its file can be used, however often they dialled it meanwhile.
func TestVoterRejoinsFleetOnceItsFileWorks(t *testing.T) {
	dir := t.TempDir()
	voters := []fleet.Voter{{Name: "n1", Address: reserveAddress(t)}, {Name: "n2", Address: reserveAddress(t)}, {Name: "n3", Address: reserveAddress(t)}}
	agents := make([]*Agent, len(voters))
	for i, v := range voters {
		agents[i] = startMember(t, dir, v, voters)
	}
	isMember := func(a *Agent) bool {
		s := a.status()
		return !s.Isolated && s.VoterDisk != nil && s.VoterHaltReason == ""
	}
	for _, a := range agents {
		require.Eventually(t, func() bool { return isMember(a) }, 20*time.Second, 5*time.Millisecond)
	}
	t.Cleanup(agents[1].Close)
	t.Cleanup(agents[2].Close)
	agents[0].Close()

	path := agents[0].config.VoterPath
	require.NoError(t, os.Rename(path, path+".kept"))
	require.NoError(t, os.Symlink(fullDevice, path))
	again := startMember(t, dir, voters[0], voters)
	t.Cleanup(again.Close)
	for end := time.Now().Add(4 * failingTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		require.True(t, again.status().Isolated)
	}
	require.NoError(t, os.Rename(path+".kept", path))
	repaired := time.Now()
	require.Eventually(t, func() bool { return isMember(again) }, 20*time.Second, 5*time.Millisecond)
	t.Logf("joined %v after the repair", time.Since(repaired))
	assert.Less(t, time.Since(repaired), 5*time.Second)
}
