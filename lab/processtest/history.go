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

// Kinds of entries in the fronts' histories that the checks read. Packages fleet and fleet/agent write them.
const (
	leaseAcquired     = "held"
	leaseRenewed      = "kept"
	leaseEnded        = "ended"
	leaseGranted      = "granted"
	broadcastReceived = "came"
	voterHalted       = "keeper halted"
	versionAdopted    = "adopted"
	versionInForce    = "acts" // all requests in flight use this version
	standbyBegan      = "stands by"
	standbyEnded      = "acts again"
	rolloutChanged    = "turned"
)

// Rollout phases in entries of kind rolloutChanged.
const (
	phaseSteady      = "steady"
	phaseRollingBack = "going back"
)

// readHistories reads the histories of all fronts in the subdirectories of dir and returns their entries ordered by time. It skips
// lines that were truncated when a process was killed.
func readHistories(dir string) (all []fleet.HistoryEntry, err error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		f, err := os.Open(filepath.Join(dir, e.Name(), historyFileName))
		if err != nil {
			continue // not the directory of a front, or the fronts form no fleet
		}
		for in := bufio.NewScanner(f); in.Scan(); {
			var entry fleet.HistoryEntry
			if json.Unmarshal(in.Bytes(), &entry) == nil {
				all = append(all, entry)
			}
		}
		_ = f.Close() // opened only for reading
	}
	slices.SortStableFunc(all, func(a, b fleet.HistoryEntry) int { return cmp.Compare(a.At, b.At) })
	return all, nil
}
