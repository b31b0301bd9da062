package monotonic

import "time"

// Clock counts from when it was made, on the machine's monotonic clock.
type Clock struct {
	StartedAt time.Time
	timer     *time.Timer
}

// NewClock starts a clock.
func NewClock() *Clock {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return &Clock{StartedAt: time.Now(), timer: t}
}

func (c *Clock) Now() time.Duration { return time.Since(c.StartedAt) }

// SetTimer makes the clock ring once, at a moment.
func (c *Clock) SetTimer(at time.Duration) { c.timer.Reset(at - c.Now()) }

func (c *Clock) TimerC() <-chan time.Time { return c.timer.C }
