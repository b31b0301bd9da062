package main

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"
)

// repeatedWarnings tells a warning that comes again and again once, then with a count at intervals, and when it has ended. At
// hundreds of fronts a service that is away would else write two lines a second for each of them, for ever. Lines below a
// warning pass as they are. What differs only in numbers, times and spans is one line.
type repeatedWarnings struct {
	slog.Handler
	state *warningTable
}

type warningTable struct {
	now      func() time.Time
	interval time.Duration

	mu        sync.Mutex
	warnings  map[string]*warning
	lastSweep time.Time
}

type warning struct {
	first, last, lastLogged time.Time
	unlogged                int // since it was told last
	total                   int
	record                  slog.Record
	handler                 slog.Handler
}

const (
	repeatInterval      = 30 * time.Second
	maxRepeatedWarnings = 256 // lines that are watched; more pass as they are
)

func newRepeatedWarnings(h slog.Handler) *repeatedWarnings {
	return &repeatedWarnings{h, &warningTable{now: time.Now, interval: repeatInterval, warnings: map[string]*warning{}}}
}

func (r *repeatedWarnings) WithAttrs(a []slog.Attr) slog.Handler {
	return &repeatedWarnings{r.Handler.WithAttrs(a), r.state}
}

func (r *repeatedWarnings) WithGroup(name string) slog.Handler {
	return &repeatedWarnings{r.Handler.WithGroup(name), r.state}
}

func (r *repeatedWarnings) Handle(ctx context.Context, rec slog.Record) error {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	now := r.state.now()
	r.state.sweep(ctx, now)
	if rec.Level < slog.LevelWarn {
		return r.Handler.Handle(ctx, rec)
	}
	key := warningKey(&rec)
	l := r.state.warnings[key]
	if l == nil {
		if len(r.state.warnings) < maxRepeatedWarnings {
			r.state.warnings[key] = &warning{first: now, last: now, lastLogged: now, total: 1, record: rec.Clone(), handler: r.Handler}
		}
		return r.Handler.Handle(ctx, rec)
	}
	l.last, l.record, l.handler = now, rec.Clone(), r.Handler
	l.unlogged++
	l.total++
	if now.Sub(l.lastLogged) < r.state.interval {
		return nil
	}
	l.lastLogged = now
	return l.logCount(ctx, now, "repeats")
}

// logCount writes the line's last form with how often it came.
func (l *warning) logCount(ctx context.Context, now time.Time, word string) error {
	rec := l.record.Clone()
	rec.Time = now
	rec.AddAttrs(slog.Int(word, l.unlogged), slog.Duration("for", l.last.Sub(l.first).Round(time.Second)))
	l.unlogged = 0
	return l.handler.Handle(ctx, rec)
}

// sweep tells of lines that came no more for an interval; any line of the log, such as the totals, brings it about.
func (s *warningTable) sweep(ctx context.Context, now time.Time) {
	if now.Sub(s.lastSweep) < s.interval/6 {
		return
	}
	s.lastSweep = now
	for key, l := range s.warnings {
		if now.Sub(l.last) < s.interval {
			continue
		}
		delete(s.warnings, key)
		if l.total > 1 {
			l.logCount(ctx, now, "ended_after")
		}
	}
}

// warningKey is a line less its numbers.
func warningKey(rec *slog.Record) string {
	var b strings.Builder
	b.WriteString(rec.Level.String())
	b.WriteString(rec.Message)
	rec.Attrs(func(a slog.Attr) bool {
		b.WriteByte(0)
		b.WriteString(a.Key)
		switch a.Value.Kind() {
		case slog.KindInt64, slog.KindUint64, slog.KindFloat64, slog.KindDuration, slog.KindTime:
			return true
		}
		text := a.Value.String()
		if len(text) > 200 {
			text = text[:200]
		}
		if a.Key != "why" { // names of members and fronts tell lines apart
			b.WriteString(text)
			return true
		}
		for _, c := range text {
			if c < '0' || c > '9' {
				b.WriteRune(c)
			}
		}
		return true
	})
	return b.String()
}
