// Package monotonic is the clock of the core: time since the process's start, which no step of the wall clock moves.
package monotonic

import "time"

// Clock implements front.Clock on the machine's monotonic clock.
type Clock struct {
	StartedAt time.Time // the moment from which it counts
	timer     *time.Timer
}

// NewClock returns a clock that counts from now.
func NewClock() *Clock {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return &Clock{StartedAt: time.Now(), timer: t}
}

// Now returns the time since the start.
func (c *Clock) Now() time.Duration { return time.Since(c.StartedAt) }

// SetTimer has TimerC deliver once, at a moment; it replaces what was set before.
func (c *Clock) SetTimer(at time.Duration) { c.timer.Reset(at - c.Now()) }

// TimerC delivers when the timer goes off.
func (c *Clock) TimerC() <-chan time.Time { return c.timer.C }
