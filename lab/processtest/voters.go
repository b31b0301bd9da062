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

// fleetID is the id of every fleet that a harness starts.
const fleetID = "process-test"

// exitRejected is the program's exit code where a command is rejected.
const exitRejected = 1

// startLimit is how long a front may take until it answers, on a loaded machine.
const startLimit = 15 * time.Second

// expect records an expectation of a step that is not met.
func (h *Harness) expect(holds bool, format string, args ...any) {
	if holds {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expected.unmet = append(h.expected.unmet, fmt.Sprintf(format, args...))
}

// expectNoLeader checks that every front reports that it has no leader. It waits for those that are still starting.
func (h *Harness) expectNoLeader(runningStep) error {
	for _, f := range h.fronts {
		s, err := f.status()
		for deadline := time.Now().Add(startLimit); err != nil && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
			s, err = f.status()
		}
		h.expect(err == nil && s.Alone, "%s should have no leader: it has %q (%v)", f.Name, s.Leader, err)
	}
	return nil
}

func (h *Harness) recoverVoters(s runningStep) error {
	f := s.fronts[0]
	h.startRecovery(f, func(exitCode int, message string) {
		h.expect(exitCode == 0, "the voters should be recovered at %s: %s", f.Name, message)
	})
	return nil
}

func (h *Harness) expectRecoveryRejected(s runningStep) error {
	f := s.fronts[0]
	h.startRecovery(f, func(exitCode int, message string) {
		h.expect(exitCode == exitRejected, "a recovery at %s should be rejected: %s", f.Name, message)
	})
	return nil
}

// startRecovery runs the operator's command at a front in the background. The message is the last line of its output.
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

func (h *Harness) backUpDisk(s runningStep) error {
	f := s.fronts[0]
	return copyFile(f.voterFile(), f.voterFileBackup())
}

// restoreDisk restores the copy that backUpDisk made of a voter's file. The voter must halt where the copy lacks anything that the
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

// lacksState reports whether a copy of a voter's disk lacks a term, a vote, an entry or an opening of the present one. What the
// present one knows of other voters does not count: nobody else can tell that it was lost.
func lacksState(restored, present *fleet.DiskState) bool {
	same := restored.OpenCount == present.OpenCount && proto.Equal(restored.Hard, present.Hard) && lastIndex(restored) == lastIndex(present)
	return !same
}

// lastIndex is the index of a disk's last log entry.
func lastIndex(s *fleet.DiskState) uint64 {
	if n := len(s.Entries); n > 0 {
		return s.Entries[n-1].GetIndex()
	}
	return s.Snapshot.GetMetadata().GetIndex()
}

// readVoterFile reads a copy of a voter's file, since opening changes it.
func readVoterFile(path, name string) (*fleet.DiskState, error) {
	copied := path + ".read"
	if err := copyFile(path, copied); err != nil {
		return nil, err
	}
	defer func() { _ = os.Remove(copied) }() // the run's directory is removed in the end
	file, state, err := disk.OpenVoterFile(copied, fleetID, name)
	if err != nil {
		return nil, err
	}
	return state, file.Close()
}
