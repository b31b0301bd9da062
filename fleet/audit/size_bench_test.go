package audit

import (
	"fmt"
	"testing"
	"time"

	"dapplerouter/front"
)

// BenchmarkLogSize measures the size of a front's log a day, lines and index, for several rates of accepted requests. One run is one
// measurement: -benchtime 1x.
func BenchmarkLogSize(b *testing.B) {
	for _, rate := range []int{10, 100, 300, 600, 900} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			for b.Loop() {
				var lines, ids int
				chain := HashChain{}
				recorder := NewRecorder(2, false, 3, func(s Interval) {
					index, hash := EncodeIndex(&s)
					l := &Line{Event: EventInterval, At: s.End.Microseconds(), Front: "f001", Incarnation: 7, Index: 100, Interval: s.Number, Start: s.Start.Microseconds(),
						End: s.End.Microseconds(), Requests: len(s.IDs), IndexOffset: int64(ids) + 1, IndexHash: hash, Version: s.Version, EndpointListVersions: s.EndpointListVersions[:]}
					for _, e := range s.Outcomes {
						l.Outcomes = append(l.Outcomes, e[:])
					}
					lines, ids = lines+len(chain.Append(l)), ids+len(index)
				})
				const duration = 10 * time.Minute
				gap := time.Second / time.Duration(rate)
				n := 0
				for at := time.Duration(0); at < duration; at += gap {
					n++
					interval := recorder.RequestAccepted(at, fmt.Appendf(nil, "t%d", n), n%2)
					recorder.RequestFinished(at, interval, n%2, front.StatusSucceeded)
					recorder.Tick(at)
				}
				recorder.Close(duration)
				day := float64(24*time.Hour) / float64(duration) / 1e6
				b.ReportMetric(float64(lines)*day, "lines-MB/day")
				b.ReportMetric(float64(ids)*day, "index-MB/day")
				b.ReportMetric(float64(ids)/float64(n), "index-B/request")
			}
		})
	}
}
