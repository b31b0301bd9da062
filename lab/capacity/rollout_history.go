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

// historyReader follows the rollouts in the history of the real front that keeps one. It reads each line once.
type historyReader struct {
	path            string
	offset          int64              // bytes read
	finishedAt      map[uint64]int64   // by version, Unix microseconds; rolledBack for one that did not come into force
	rollbackReasons map[uint64]string  // by version
	stageDoneAt     map[uint64]int64   // when a version's last stage ended, Unix microseconds
	lastEntry       fleet.HistoryEntry // of a rollout
}

func newHistoryReader(path string) *historyReader {
	return &historyReader{path: path, finishedAt: map[uint64]int64{}, rollbackReasons: map[uint64]string{}, stageDoneAt: map[uint64]int64{}}
}

// The history's words for a rollout. They change only with its format version.
const (
	rolloutEntryKind = "turned"
	rolloutSteady    = "steady"
	rolloutFinishing = "finishing"
	rolloutGoingBack = "going back"
)

// rolledBack stands for the end of a rollout that did not come into force.
const rolledBack = -1

// finished reads what is new and returns when a version's rollout was over: Unix microseconds, 0 for not yet, or rolledBack.
func (h *historyReader) finished(version uint64) (at int64, err error) {
	f, err := os.Open(h.path)
	if err != nil {
		return 0, fmt.Errorf("rollout history: %w", err)
	}
	defer func() { _ = f.Close() }() // it was only read
	if _, err := f.Seek(h.offset, io.SeekStart); err != nil {
		return 0, fmt.Errorf("rollout history: %w", err)
	}
	for r := bufio.NewReader(f); ; {
		line, err := r.ReadBytes('\n')
		if err != nil { // the rest of a line comes later
			return h.finishedAt[version], nil
		}
		h.offset += int64(len(line))
		h.apply(line)
	}
}

// apply takes a line of the history; those that are not of rollouts are skipped.
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
		if previous.Term != 0 && previous.Term != e.Number { // the version that was rolled out is not the one in force
			h.finishedAt[previous.Term] = rolledBack
		}
		if _, ok := h.finishedAt[e.Number]; !ok {
			h.finishedAt[e.Number] = e.At
		}
	}
}
