package front

import (
	"log/slog"
	"time"

	"dapplerouter/routing"
)

// metrics are the counters that LogTotals writes to the log. They count from the start, except where noted.
type metrics struct {
	accepted, succeeded, rejected, failed, abandoned, invalid int // requests
	attempts, healthChecks                                    int
	results                                                   [routing.Stale + 1]int // of attempts
	unreadable                                                int                    // responses of servers that could not be decoded
	maxTimerDelay, maxBatchTime                               time.Duration          // since the last LogTotals
	batches, timersFired                                      int                    // since the last LogTotals
}

// responded counts a response by its status.
func (m *metrics) responded(status Status) {
	switch status {
	case StatusSucceeded:
		m.succeeded++
	case StatusRejected:
		m.rejected++
	case StatusFailed:
		m.failed++
	case StatusInvalid:
		m.invalid++
	}
}

// timerFired counts a timer; late is the time between its due time and its handling.
func (m *metrics) timerFired(late time.Duration) {
	m.timersFired++
	m.maxTimerDelay = max(m.maxTimerDelay, late)
}

// batchDone counts a batch and its duration.
func (m *metrics) batchDone(took time.Duration) {
	m.batches++
	m.maxBatchTime = max(m.maxBatchTime, took)
}

// logServerHealth logs when a server begins to fail and when it has recovered.
func (c *Core) logServerHealth(server int, result routing.AttemptResult, err error) {
	failing := false
	switch result {
	case routing.Unreachable, routing.ConnectionLost, routing.TimedOut:
		failing = true
	case routing.Cancelled, routing.NotSent:
		return
	}
	st := c.servers.at(server)
	if st.failing == failing {
		return
	}
	st.failing = failing
	if failing {
		slog.Warn("server failing", "server", c.servers.names.Key(server), "result", result, "err", err)
	} else {
		slog.Info("server recovered", "server", c.servers.names.Key(server))
	}
}

// LogTotals is the event that writes the counters to the log in one line: the front's own, those of the classifier if there is one, and
// the attributes in Extra, which alternate names and values. The maxima, batches and timers cover the time since the previous LogTotals,
// in_flight is the present number of requests in the table, and the other counters count from the start.
type LogTotals struct{ Extra []any }

// apply writes the line and resets the counters that cover the time since the previous one.
func (l LogTotals) apply(c *Core, _ time.Duration) {
	m := &c.metrics
	attributes := []any{"accepted", m.accepted, "succeeded", m.succeeded, "rejected", m.rejected, "failed", m.failed,
		"client_gone", m.abandoned, "invalid", m.invalid, "in_flight", c.requests.table.Len(), "attempts", m.attempts,
		"health_checks", m.healthChecks, "server_error", m.results[routing.ServerError], "unreadable", m.unreadable,
		"overloaded", m.results[routing.Overloaded], "timed_out", m.results[routing.TimedOut],
		"unreachable", m.results[routing.Unreachable], "connection_lost", m.results[routing.ConnectionLost],
		"cancelled", m.results[routing.Cancelled], "misrouted", m.results[routing.Misrouted], "stale", m.results[routing.Stale],
		"max_timer_delay", m.maxTimerDelay, "max_batch_time", m.maxBatchTime, "batches", m.batches, "timers", m.timersFired}
	if c.classifier != nil {
		attributes = append(attributes, c.classifier.totals()...)
	}
	slog.Info("totals", append(attributes, l.Extra...)...)
	m.maxTimerDelay, m.maxBatchTime, m.batches, m.timersFired = 0, 0, 0, 0
}
