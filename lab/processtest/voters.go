package processtest

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"dapplerouter/fleet"
	"dapplerouter/fleet/disk"
)

// fleetID is the id of every fleet that a rig starts.
const fleetID = "rig"

// notSoExit is the program's exit code where what was asked is refused.
const notSoExit = 1

// expect records that something was not as a step said.
func (r *Rig) expect(holds bool, format string, args ...any) {
	if holds {
		return
	}
	r.said.Lock()
	defer r.said.Unlock()
	r.unmet = append(r.unmet, fmt.Sprintf(format, args...))
}

// startPatience is how long a front may take until it answers, on a loaded machine.
const startPatience = 15 * time.Second

// expectLeaderless checks that every front reports that it hears no leader. It waits for those that are still starting.
func (r *Rig) expectLeaderless() {
	for _, f := range r.fronts {
		s, err := f.seen()
		for end := time.Now().Add(startPatience); err != nil && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			s, err = f.seen()
		}
		r.expect(err == nil && s.Alone, "%s should hear no leader: it hears %q (%v)", f.Name, s.Leader, err)
	}
}

// recoverVoters runs the operator's command at a front; it goes on while the script does.
func (r *Rig) recoverVoters(f *Front, succeeds bool) {
	r.later.Go(func() {
		cmd := exec.Command(r.Program, "fleet", "voters", "recover", "--confirm", "--reason", "the script", "--control", f.socket())
		out, err := cmd.CombinedOutput()
		lines := strings.Split(strings.TrimSpace(string(out)), "\n")
		last := lines[len(lines)-1]
		r.say(f.Name, "recover: %s", last)
		if succeeds {
			r.expect(err == nil, "the voters should be recovered at %s: %s", f.Name, last)
		} else {
			r.expect(cmd.ProcessState.ExitCode() == notSoExit, "a recovery at %s should be refused: %s", f.Name, last)
		}
	})
}

// restoreOldDisk puts the copy of a voter's file back that was laid aside. The voter must be refused where the copy lacks anything
// that the file held.
func (r *Rig) restoreOldDisk(f *Front) error {
	old := f.disk() + ".old"
	present, err := readDisk(f.disk(), f.Name)
	if err != nil {
		return err
	}
	restored, err := readDisk(old, f.Name)
	if err != nil {
		return err
	}
	if lacksSomething(restored, present) {
		r.mustHalt = append(r.mustHalt, f.Name)
	} else {
		r.say(f.Name, "the copy is as new as the file: the voter may go on with it")
	}
	return copyFile(old, f.disk())
}

// lacksSomething reports whether a copy of a voter's disk lacks a term, a vote, an entry or an opening of the present one. What the
// present one knows of other voters does not count: nobody else can tell that it was lost.
func lacksSomething(restored, present *fleet.DiskState) bool {
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

// readDisk reads a voter's file, by way of a copy since opening changes it.
func readDisk(path, name string) (*fleet.DiskState, error) {
	copied := path + ".read"
	if err := copyFile(path, copied); err != nil {
		return nil, err
	}
	defer os.Remove(copied)
	file, state, err := disk.OpenVoterFile(copied, fleetID, name)
	if err != nil {
		return nil, err
	}
	return state, file.Close()
}
