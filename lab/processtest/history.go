package processtest

import (
	"bufio"
	"cmp"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"

	"dapplerouter/fleet"
)

const historyFileName = "history.jsonl"

// Kinds of entries in the fronts' histories that the checks read; packages fleet and fleet/agent write them.
const (
	leaseAcquired     = "held"
	leaseRenewed      = "kept"
	leaseEnded        = "ended"
	leaseGranted      = "granted"
	broadcastReceived = "came"
	voterHalted       = "keeper halted"
	versionAdopted    = "adopted"
	versionInForce    = "acts" // all requests in flight are of this version
	standbyBegan      = "stands by"
	standbyEnded      = "acts again"
	rolloutChanged    = "turned"
)

// Phases of a rollout in entries of kind rolloutChanged.
const (
	phaseSteady      = "steady"
	phaseRollingBack = "going back"
)

// readHistories reads the histories of all fronts below a directory, ordered by time. Lines that a kill has truncated are passed over.
func readHistories(dir string) (all []fleet.HistoryEntry, err error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		f, err := os.Open(filepath.Join(dir, e.Name(), historyFileName))
		if err != nil {
			continue // not a front's directory, or a front without a fleet
		}
		for in := bufio.NewScanner(f); in.Scan(); {
			var entry fleet.HistoryEntry
			if json.Unmarshal(in.Bytes(), &entry) == nil {
				all = append(all, entry)
			}
		}
		_ = f.Close() // it was only read
	}
	slices.SortStableFunc(all, func(a, b fleet.HistoryEntry) int { return cmp.Compare(a.At, b.At) })
	return all, nil
}
