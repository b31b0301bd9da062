package main

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"
)

// repeats tells a warning that comes again and again once, then with a count at intervals, and when it has ended. At
// hundreds of fronts a service that is away would else write two lines a second for each of them, for ever. Lines below a
// warning pass as they are. What differs only in numbers, times and spans is one line.
type repeats struct {
	slog.Handler
	s *repeated
}

type repeated struct {
	now   func() time.Time
	every time.Duration

	mu    sync.Mutex
	lines map[string]*repeating
	swept time.Time
}

type repeating struct {
	first, last, told time.Time
	count             int // since it was told last
	all               int
	record            slog.Record
	h                 slog.Handler
}

const (
	repeatsTold = 30 * time.Second
	repeatsMost = 256 // lines that are watched; more pass as they are
)

func newRepeats(h slog.Handler) *repeats {
	return &repeats{h, &repeated{now: time.Now, every: repeatsTold, lines: map[string]*repeating{}}}
}

func (r *repeats) WithAttrs(a []slog.Attr) slog.Handler {
	return &repeats{r.Handler.WithAttrs(a), r.s}
}

func (r *repeats) WithGroup(name string) slog.Handler {
	return &repeats{r.Handler.WithGroup(name), r.s}
}

func (r *repeats) Handle(ctx context.Context, rec slog.Record) error {
	r.s.mu.Lock()
	defer r.s.mu.Unlock()
	now := r.s.now()
	r.s.sweep(ctx, now)
	if rec.Level < slog.LevelWarn {
		return r.Handler.Handle(ctx, rec)
	}
	key := sameness(&rec)
	l := r.s.lines[key]
	if l == nil {
		if len(r.s.lines) < repeatsMost {
			r.s.lines[key] = &repeating{first: now, last: now, told: now, all: 1, record: rec.Clone(), h: r.Handler}
		}
		return r.Handler.Handle(ctx, rec)
	}
	l.last, l.record, l.h = now, rec.Clone(), r.Handler
	l.count++
	l.all++
	if now.Sub(l.told) < r.s.every {
		return nil
	}
	l.told = now
	return l.tell(ctx, now, "repeats")
}

// tell writes the line's last form with how often it came.
func (l *repeating) tell(ctx context.Context, now time.Time, word string) error {
	rec := l.record.Clone()
	rec.Time = now
	rec.AddAttrs(slog.Int(word, l.count), slog.Duration("for", l.last.Sub(l.first).Round(time.Second)))
	l.count = 0
	return l.h.Handle(ctx, rec)
}

// sweep tells of lines that came no more for an interval; any line of the log, such as the totals, brings it about.
func (s *repeated) sweep(ctx context.Context, now time.Time) {
	if now.Sub(s.swept) < s.every/6 {
		return
	}
	s.swept = now
	for key, l := range s.lines {
		if now.Sub(l.last) < s.every {
			continue
		}
		delete(s.lines, key)
		if l.all > 1 {
			l.tell(ctx, now, "ended_after")
		}
	}
}

// sameness is a line less its numbers.
func sameness(rec *slog.Record) string {
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
		if a.Key != "err" && a.Key != "why" { // names of members and fronts tell lines apart
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
