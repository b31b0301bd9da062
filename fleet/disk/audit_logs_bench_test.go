package disk

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"dapplerouter/fleet/audit"
)

// BenchmarkFind measures how long it takes to find a request in one day's audit logs of FIND_FRONTS fronts (default 300). Each front has
// an interval every 30 s with 300 requests, 10 per second. The logs of 300 fronts take 1.3 GB, so the benchmark needs a directory,
// FIND_DIR, in which it keeps them between runs.
func BenchmarkFind(b *testing.B) {
	dir := os.Getenv("FIND_DIR")
	if dir == "" {
		b.Skip("no FIND_DIR")
	}
	fronts := 300
	fmt.Sscan(os.Getenv("FIND_FRONTS"), &fronts)
	r := rand.New(rand.NewPCG(1, 1))
	lines := int64(0)
	for f := range fronts {
		name := fmt.Sprintf("f%03d", f)
		if _, err := os.Stat(filepath.Join(dir, audit.SegmentName(name, 1)+audit.IndexSuffix)); err == nil {
			continue
		}
		c := audit.HashChain{}
		number, seg := uint32(0), uint64(0)
		for number < 2880 {
			seg++
			c.StartSegment()
			var ids, text []byte
			for len(text)+len(ids) < 1<<20 && number < 2880 {
				number++
				s := audit.Interval{Number: number}
				for range 300 {
					s.IDs = append(s.IDs, r.Uint64())
				}
				if number == 1440 && f == fronts/2 {
					s.IDs[7] = audit.HashID([]byte("the-one"))
				}
				b, hash := audit.EncodeIndex(&s)
				at := int64(number) * (30 * time.Second).Microseconds()
				l := &audit.Line{Event: audit.EventInterval, At: at, Front: name, Incarnation: 7, Index: 100, Interval: number, Start: at, End: at + 30_000_000, Requests: 300,
					IndexOffset: int64(len(ids)) + 1, IndexHash: hash, Version: 3, EndpointListVersions: []int64{10, 10}, Outcomes: [][]uint32{{300, 0, 0, 0, 0}, {0, 0, 0, 0, 0}, {0, 0, 0, 0, 0}}}
				ids = append(ids, b...)
				text = append(text, c.Append(l)...)
			}
			base := filepath.Join(dir, audit.SegmentName(name, seg))
			if err := os.WriteFile(base+audit.IndexSuffix, ids, 0o600); err != nil {
				b.Fatal(err)
			}
			if err := os.WriteFile(base+audit.LogSuffix, text, 0o600); err != nil {
				b.Fatal(err)
			}
			lines += int64(len(text) + len(ids))
		}
	}
	if lines > 0 {
		b.Logf("%d bytes a front a day", lines/int64(fronts))
	}
	for b.Loop() {
		l, err := OpenAuditLogs(dir)
		if err != nil {
			b.Fatal(err)
		}
		hits, unread := l.Find("the-one")
		if unread != nil || len(hits) != 1 {
			b.Fatal(hits, unread)
		}
	}
}
