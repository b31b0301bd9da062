package processtest

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"dapplerouter/fleet"
	"dapplerouter/fleet/disk"
)

// fleetID is the ID of every fleet that a harness starts.
const fleetID = "process-test"

// exitRejected is the program's exit code for a rejected command.
const exitRejected = 1

// startTimeout is the timeout for a starting front to answer. It allows for a loaded machine.
const startTimeout = 15 * time.Second

// expect records an unmet expectation of a step, with a message, unless it holds.
func (h *Harness) expect(holds bool, format string, args ...any) {
	if holds {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expected.unmet = append(h.expected.unmet, fmt.Sprintf(format, args...))
}

// expectNoLeader checks that every front reports that it has no leader. It waits up to startTimeout for a front that is still starting.
func (h *Harness) expectNoLeader(runningStep) error {
	for _, f := range h.fronts {
		s, err := f.status()
		for deadline := time.Now().Add(startTimeout); err != nil && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
			s, err = f.status()
		}
		h.expect(err == nil && s.Alone, "%s should have no leader: it has %q (%v)", f.Name, s.Leader, err)
	}
	return nil
}

// recoverVoters recovers the voters at a front as an operator would, and expects that it succeeds.
func (h *Harness) recoverVoters(s runningStep) error {
	f := s.fronts[0]
	h.startRecovery(f, func(exitCode int, message string) {
		h.expect(exitCode == 0, "the voters should be recovered at %s: %s", f.Name, message)
	})
	return nil
}

// expectRecoveryRejected tries to recover the voters at a front as an operator would, and expects that the command is rejected.
func (h *Harness) expectRecoveryRejected(s runningStep) error {
	f := s.fronts[0]
	h.startRecovery(f, func(exitCode int, message string) {
		h.expect(exitCode == exitRejected, "a recovery at %s should be rejected: %s", f.Name, message)
	})
	return nil
}

// startRecovery runs the operator's recovery command at a front in the background and then calls done. The exit code is -1 if the
// command could not be run. The message is the last line of the command's output, or the error if it could not be run.
func (h *Harness) startRecovery(f *Front, done func(exitCode int, message string)) {
	h.background.Go(func() {
		cmd := exec.Command(h.Program, "fleet", "voters", "recover", "--confirm", "--reason", "the script", "--control", f.controlSocket())
		out, err := cmd.CombinedOutput()
		lines := strings.Split(strings.TrimSpace(string(out)), "\n")
		message := lines[len(lines)-1]
		h.logf(f.Name, "recover: %s", message)
		exitCode := 0
		if exited := (*exec.ExitError)(nil); errors.As(err, &exited) {
			exitCode = exited.ExitCode()
		} else if err != nil {
			exitCode, message = -1, err.Error()
		}
		done(exitCode, message)
	})
}

// backUpDisk copies a voter's file while its front runs.
func (h *Harness) backUpDisk(s runningStep) error {
	f := s.fronts[0]
	return copyFile(f.voterFile(), f.voterFileBackup())
}

// restoreDisk replaces a voter's file with the copy that backUpDisk made. The voter must halt if the copy lacks any state that the
// file held.
func (h *Harness) restoreDisk(f *Front) error {
	present, err := readVoterFile(f.voterFile(), f.Name)
	if err != nil {
		return err
	}
	restored, err := readVoterFile(f.voterFileBackup(), f.Name)
	if err != nil {
		return err
	}
	if lacksState(restored, present) {
		h.expected.mustHalt = append(h.expected.mustHalt, f.Name)
	} else {
		h.logf(f.Name, "the copy is as new as the file: the voter may start with it")
	}
	return copyFile(f.voterFileBackup(), f.voterFile())
}

// lacksState reports whether a restored copy of a voter's disk lacks state of the present disk: a term, a vote, a commit index, a log
// entry or an increment of the open count. What the present disk knows about other voters does not count, because no other voter can
// detect that it was lost.
func lacksState(restored, present *fleet.DiskState) bool {
	same := restored.OpenCount == present.OpenCount && proto.Equal(restored.Hard, present.Hard) && lastIndex(restored) == lastIndex(present)
	return !same
}

// lastIndex returns the index of a disk's last log entry, or that of the snapshot if there is no entry after it.
func lastIndex(s *fleet.DiskState) uint64 {
	if n := len(s.Entries); n > 0 {
		return s.Entries[n-1].GetIndex()
	}
	return s.Snapshot.GetMetadata().GetIndex()
}

// readVoterFile returns the state in a voter's file. It opens a temporary copy because opening a voter file modifies it.
func readVoterFile(path, name string) (*fleet.DiskState, error) {
	copied := path + ".read"
	if err := copyFile(path, copied); err != nil {
		return nil, err
	}
	defer func() { _ = os.Remove(copied) }() // a leftover is removed with the run's directory
	file, state, err := disk.OpenVoterFile(copied, fleetID, name)
	if err != nil {
		return nil, err
	}
	return state, file.Close()
}
