package main

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"
)

// repeatedWarnings is a log handler that limits repeated warnings and errors. It writes the first record of a warning, then one record
// with a count per interval, and a last one when the warning has stopped. Without it, hundreds of fronts would each write two lines a
// second while a service is down. Records below the level of a warning pass unchanged. Records that differ only in numbers, times and
// durations count as the same warning.
type repeatedWarnings struct {
	slog.Handler
	state *warningTable
}

// warningTable holds the recent warnings. A handler shares it with the handlers derived from it by WithAttrs and WithGroup.
type warningTable struct {
	now      func() time.Time
	interval time.Duration

	mu        sync.Mutex // guards the fields below; it is held while a record is written, so that records stay in order
	warnings  map[string]*warning
	lastSweep time.Time
}

// warning is a warning that occurred within the last interval.
type warning struct {
	first, last, lastLogged time.Time
	unlogged                int         // occurrences since lastLogged
	total                   int         // occurrences
	record                  slog.Record // of the last occurrence
	handler                 slog.Handler
}

const (
	repeatInterval      = 30 * time.Second
	maxRepeatedWarnings = 256 // in the table; any more pass unchanged
)

// newRepeatedWarnings makes a repeatedWarnings that passes records to h.
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

// logCount writes the last record again, with two more attributes: under key the number of occurrences since the last line, and the time
// from the first occurrence to the last.
func (w *warning) logCount(ctx context.Context, now time.Time, key string) error {
	rec := w.record.Clone()
	rec.Time = now
	rec.AddAttrs(slog.Int(key, w.unlogged), slog.Duration("for", w.last.Sub(w.first).Round(time.Second)))
	w.unlogged = 0
	return w.handler.Handle(ctx, rec)
}

// sweep removes warnings that did not occur for an interval, and logs the end of those that were repeated. It runs with any record that
// is logged, such as the periodic totals.
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
			_ = w.logCount(ctx, now, "ended_after") // Handle returns the error of its own record only
		}
	}
}

// warningKey returns the key by which records count as the same warning: level, message and attributes without numbers.
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
		if !isExplanation(a.Key) { // a number in the name of a server or front makes another warning
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

const maxKeyText = 200 // bytes of an attribute's text that count

// isExplanation reports whether an attribute explains a failure. Its text may have numbers that differ each time, such as ports and byte
// counts.
func isExplanation(key string) bool { return key == "err" || key == "reason" || key == "why" }
