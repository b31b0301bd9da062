// Package monotonic provides the clock of the core: the time since the process started, unaffected by steps of the wall
// clock.
package monotonic

import "time"

// Clock implements front.Clock with the machine's monotonic clock.
type Clock struct {
	StartedAt time.Time // time at which Now is 0
	timer     *time.Timer
}

// NewClock returns a clock that starts now.
func NewClock() *Clock {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return &Clock{StartedAt: time.Now(), timer: t}
}

// Now returns the time since StartedAt.
func (c *Clock) Now() time.Duration { return time.Since(c.StartedAt) }

// WallOffset returns by how much the machine's wall clock was stepped since StartedAt.
func (c *Clock) WallOffset() time.Duration {
	now := time.Now()
	return now.Round(0).Sub(c.StartedAt.Round(0)) - now.Sub(c.StartedAt)
}

// SetTimer makes TimerC deliver once at the given time. It replaces the timer set before.
func (c *Clock) SetTimer(at time.Duration) { c.timer.Reset(at - c.Now()) }

// TimerC returns the channel that delivers when the timer fires.
func (c *Clock) TimerC() <-chan time.Time { return c.timer.C }
