package capacity

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"dapplerouter/fleet"
)

// historyReader follows the rollouts in the history of the real front that writes one. It reads each line once.
type historyReader struct {
	path            string
	offset          int64              // number of bytes read so far
	finishedAt      map[uint64]int64   // by version; Unix microseconds, or rolledBack for a version that did not come into force
	rollbackReasons map[uint64]string  // by version
	stageDoneAt     map[uint64]int64   // when the last stage ended, by version; Unix microseconds
	lastEntry       fleet.HistoryEntry // the last entry about a rollout
}

// newHistoryReader returns a reader that starts at the beginning of the history file.
func newHistoryReader(path string) *historyReader {
	return &historyReader{path: path, finishedAt: map[uint64]int64{}, rollbackReasons: map[uint64]string{}, stageDoneAt: map[uint64]int64{}}
}

// Kind and phase names of rollout entries in a history. They are part of the history's format.
const (
	rolloutEntryKind = "turned"
	rolloutSteady    = "steady"
	rolloutFinishing = "finishing"
	rolloutGoingBack = "going back"
)

// rolledBack replaces the end time of a rollout that did not come into force.
const rolledBack = -1

// finished reads the new lines of the history and returns when a version's rollout finished, in Unix microseconds. It returns 0 if the
// rollout has not finished, and rolledBack if it was rolled back.
func (h *historyReader) finished(version uint64) (at int64, err error) {
	f, err := os.Open(h.path)
	if err != nil {
		return 0, fmt.Errorf("rollout history: %w", err)
	}
	defer func() { _ = f.Close() }() // opened only for reading
	if _, err := f.Seek(h.offset, io.SeekStart); err != nil {
		return 0, fmt.Errorf("rollout history: %w", err)
	}
	for r := bufio.NewReader(f); ; {
		line, err := r.ReadBytes('\n')
		if err != nil { // an incomplete line is read again later
			return h.finishedAt[version], nil
		}
		h.offset += int64(len(line))
		h.apply(line)
	}
}

// apply updates the state with a line of the history. It skips lines that are not about rollouts.
func (h *historyReader) apply(line []byte) {
	if !bytes.Contains(line, []byte(rolloutEntryKind)) {
		return
	}
	var e fleet.HistoryEntry
	if json.Unmarshal(line, &e) != nil || e.Kind != rolloutEntryKind {
		return
	}
	previous := h.lastEntry
	h.lastEntry = e
	switch e.Name {
	case rolloutGoingBack:
		h.rollbackReasons[e.Term] = e.Reason
	case rolloutFinishing:
		h.stageDoneAt[e.Term] = e.At
	case rolloutSteady:
		if previous.Term != 0 && previous.Term != e.Number { // the version that was being rolled out is not the one in force
			h.finishedAt[previous.Term] = rolledBack
		}
		if _, ok := h.finishedAt[e.Number]; !ok {
			h.finishedAt[e.Number] = e.At
		}
	}
}
