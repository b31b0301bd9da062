package audit

import (
	"fmt"
	"testing"
	"time"

	"dapplerouter/front"
)

// BenchmarkLogSize tells how many bytes a front's log takes a day, its lines and its index, by the transactions that it
// takes a second. One run is one measurement: -benchtime 1x.
func BenchmarkLogSize(b *testing.B) {
	for _, rate := range []int{10, 100, 300, 600, 900} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			for b.Loop() {
				var lines, ids int
				chain := HashChain{}
				book := NewRecorder(2, false, 3, func(s Interval) {
					index, hash := EncodeIndex(&s)
					l := &Line{Event: EventInterval, At: s.End.Microseconds(), Front: "f001", Incarnation: 7, Index: 100, Interval: s.Number, Start: s.Start.Microseconds(),
						End: s.End.Microseconds(), Requests: len(s.IDs), IndexOffset: int64(ids) + 1, IndexHash: hash, Version: s.Version, EndpointListVersions: s.EndpointListVersions[:]}
					for _, e := range s.Outcomes {
						l.Outcomes = append(l.Outcomes, e[:])
					}
					lines, ids = lines+len(chain.Append(l)), ids+len(index)
				})
				const long = 10 * time.Minute
				gap := time.Second / time.Duration(rate)
				n := 0
				for at := time.Duration(0); at < long; at += gap {
					n++
					span := book.RequestAccepted(at, fmt.Appendf(nil, "t%d", n), n%2)
					book.RequestFinished(at, span, n%2, front.StatusSucceeded)
					book.Tick(at)
				}
				book.Close(long)
				day := float64(24*time.Hour) / float64(long) / 1e6
				b.ReportMetric(float64(lines)*day, "lines-MB/day")
				b.ReportMetric(float64(ids)*day, "index-MB/day")
				b.ReportMetric(float64(ids)/float64(n), "index-B/request")
			}
		})
	}
}
