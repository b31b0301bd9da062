package sqlclass

import (
	"fmt"
	"testing"
	"time"
)

// knownStatement is a statement of about 200 bytes that the benchmarks classify again and again.
const knownStatement = `SELECT b.id, b.guests, t.name FROM bookings b JOIN tables t ON t.id = b.table_id ` +
	`WHERE b.house = 'momo-house-7' AND b.day = '2026-12-01' AND b.state IN (1, 2, 3) ORDER BY b.at LIMIT 50 /* c=browser */`

func BenchmarkClassifyKnown(b *testing.B) {
	c := New(Options{CacheBytes: 8 << 20})
	text := []byte(knownStatement)
	c.Classify(text)
	b.ReportAllocs()
	for b.Loop() {
		c.Classify(text)
	}
}

// BenchmarkClassifyKnownPlain classifies a statement of about 200 bytes of the kind that most clients send.
func BenchmarkClassifyKnownPlain(b *testing.B) {
	c := New(Options{CacheBytes: 8 << 20})
	text := []byte(`SELECT data FROM facts WHERE code = '7f3a9c21e0b4d6557f3a9c21e0b4d655' ` +
		`/* id=9b1f03aa5c7e2d41,c=basket,t=acme-restaurants,d=480,cluster=2,after=1767225600123,k=5c0f6e1a2b3d4c59,r=1,s=asha-7 */`)
	b.ReportAllocs()
	for b.Loop() {
		c.Classify(text)
	}
}

func BenchmarkClassifyKnownParallel(b *testing.B) {
	c := New(Options{CacheBytes: 8 << 20})
	text := []byte(knownStatement)
	c.Classify(text)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c.Classify(text)
		}
	})
}

func BenchmarkClassifyUnknown(b *testing.B) {
	c := New(Options{CacheBytes: 8 << 20})
	b.ReportAllocs()
	text := []byte(knownStatement)
	for i := 0; b.Loop(); i++ {
		copy(text[7:], fmt.Appendf(nil, "b%06d,", i%1000000))
		c.Classify(text)
	}
}

func BenchmarkEstimate(b *testing.B) {
	c := New(Options{CacheBytes: 8 << 20})
	s, details, _ := c.Classify([]byte(knownStatement))
	b.ReportAllocs()
	for b.Loop() {
		c.Observe(s, &details, 3*time.Millisecond)
		c.Estimate(s, &details)
	}
}

// BenchmarkClassifyMillionUnknown classifies a flood of a million statements, each of them once. It reports the hit rate of the
// frequent statements without and with the flood, and the heap size in the middle and at the end.
func BenchmarkClassifyMillionUnknown(b *testing.B) {
	for b.Loop() {
		baseline, _, _ := hitRate(b, 200, 100_000, 0)
		rate, half, full := hitRate(b, 200, 100_000, 1_000_000)
		b.ReportMetric(baseline, "hot-calm")
		b.ReportMetric(rate, "hot-flood")
		b.ReportMetric(float64(half)/(1<<10), "KiB-half")
		b.ReportMetric(float64(full)/(1<<10), "KiB-end")
	}
}
