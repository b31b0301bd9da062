package deployment

import (
	"time"

	"dapplerouter/routing"
)

// SetLoadField sets the field of a load report that has the given name in a server's report. Servers use different names for
// the same field; unknown names are ignored. Positions are in seconds, counted from origin.
func SetLoadField(l *routing.LoadReport, name string, v float64, origin time.Duration) {
	switch name {
	case "active", "inflight":
		l.InFlight = v
	case "waiting", "queue":
		l.Queued = v
	case "cpu", "util":
		l.Utilization = v
	case "avg_ms", "latency_ms":
		l.LatencyMillis = v
	case "rps", "qps":
		l.RequestRate = v
	case "err_rps", "eps":
		l.ErrorRate = v
	case "x0":
		l.Position, l.HasPosition = origin+time.Duration(v*float64(time.Second)), true
	case "x1":
		l.Role = routing.Replica
		if v == 1 {
			l.Role = routing.Primary
		}
	}
}

// EmptyLoad is a load report in which no value is set.
var EmptyLoad = routing.LoadReport{InFlight: routing.None, Queued: routing.None, Utilization: routing.None, LatencyMillis: routing.None,
	RequestRate: routing.None, ErrorRate: routing.None}
