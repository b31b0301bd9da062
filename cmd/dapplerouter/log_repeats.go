package main

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"
)

// repeatedWarnings is a log handler that writes a repeated warning once, then with a count at intervals, and once more when it no
// longer comes. Without it, hundreds of fronts would each write two lines a second while a service is down. Records below a
// warning pass unchanged. Records that differ only in numbers, times and durations count as one warning.
type repeatedWarnings struct {
	slog.Handler
	state *warningTable
}

// warningTable is shared by a handler and those made from it by WithAttrs and WithGroup.
type warningTable struct {
	now      func() time.Time
	interval time.Duration

	mu        sync.Mutex // guards what follows, and has records written in order
	warnings  map[string]*warning
	lastSweep time.Time
}

// warning is one that came within the last interval.
type warning struct {
	first, last, lastLogged time.Time
	unlogged                int // occurrences since lastLogged
	total                   int
	record                  slog.Record // the last one
	handler                 slog.Handler
}

const (
	repeatInterval      = 30 * time.Second
	maxRepeatedWarnings = 256 // in the table; further ones pass unchanged
)

func newRepeatedWarnings(h slog.Handler) *repeatedWarnings {
	return &repeatedWarnings{h, &warningTable{now: time.Now, interval: repeatInterval, warnings: map[string]*warning{}}}
}

// WithAttrs implements slog.Handler.
func (r *repeatedWarnings) WithAttrs(a []slog.Attr) slog.Handler {
	return &repeatedWarnings{r.Handler.WithAttrs(a), r.state}
}

// WithGroup implements slog.Handler.
func (r *repeatedWarnings) WithGroup(name string) slog.Handler {
	return &repeatedWarnings{r.Handler.WithGroup(name), r.state}
}

// Handle implements slog.Handler.
func (r *repeatedWarnings) Handle(ctx context.Context, rec slog.Record) error {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	now := r.state.now()
	r.state.sweep(ctx, now)
	if rec.Level < slog.LevelWarn {
		return r.Handler.Handle(ctx, rec)
	}
	key := warningKey(&rec)
	w := r.state.warnings[key]
	if w == nil {
		if len(r.state.warnings) < maxRepeatedWarnings {
			r.state.warnings[key] = &warning{first: now, last: now, lastLogged: now, total: 1, record: rec.Clone(), handler: r.Handler}
		}
		return r.Handler.Handle(ctx, rec)
	}
	w.last, w.record, w.handler = now, rec.Clone(), r.Handler
	w.unlogged++
	w.total++
	if now.Sub(w.lastLogged) < r.state.interval {
		return nil
	}
	w.lastLogged = now
	return w.logCount(ctx, now, "repeats")
}

// logCount writes the last record again, with an attribute for how often it came.
func (w *warning) logCount(ctx context.Context, now time.Time, key string) error {
	rec := w.record.Clone()
	rec.Time = now
	rec.AddAttrs(slog.Int(key, w.unlogged), slog.Duration("for", w.last.Sub(w.first).Round(time.Second)))
	w.unlogged = 0
	return w.handler.Handle(ctx, rec)
}

// sweep removes warnings that did not come for an interval, and logs the end of those that were repeated. Any record brings it about,
// such as the totals.
func (s *warningTable) sweep(ctx context.Context, now time.Time) {
	if now.Sub(s.lastSweep) < s.interval/6 {
		return
	}
	s.lastSweep = now
	for key, w := range s.warnings {
		if now.Sub(w.last) < s.interval {
			continue
		}
		delete(s.warnings, key)
		if w.total > 1 {
			_ = w.logCount(ctx, now, "ended_after") // Handle's error is that of its own record
		}
	}
}

// warningKey is what equal warnings have in common: the record without its numbers.
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
		if len(text) > maxKeyText {
			text = text[:maxKeyText]
		}
		if !isExplanation(a.Key) { // numbers in names of servers and fronts tell warnings apart
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

const maxKeyText = 200 // bytes of an attribute

// isExplanation reports whether an attribute's text may have numbers that differ each time, such as ports and byte counts.
func isExplanation(key string) bool { return key == "err" || key == "reason" || key == "why" }
