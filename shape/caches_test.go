package shape

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/dgraph-io/ristretto/v2"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/maypok86/otter/v2"
)

// candidate is a cache as the shapes would use it.
type candidate struct {
	get  func(uint64) (*Shape, bool)
	put  func(uint64, *Shape)
	name string
}

// candidates are the caches that were weighed, each bounded to about so many bytes of shapes that weigh so much. Those
// that count entries only are given the count that the bytes come to: they can't know that shapes differ in size.
func candidates(bytes int64, each int) []candidate {
	o := otter.Must(&otter.Options[uint64, *Shape]{MaximumWeight: uint64(bytes),
		Weigher: func(_ uint64, s *Shape) uint32 { return uint32(s.weight()) }, Executor: func(f func()) { f() }})
	r, err := ristretto.NewCache(&ristretto.Config[uint64, *Shape]{NumCounters: 10 * bytes / int64(each), MaxCost: bytes,
		BufferItems: 64, IgnoreInternalCost: true})
	if err != nil {
		panic(err)
	}
	plain, _ := lru.New[uint64, *Shape](int(bytes) / each)
	two, _ := lru.New2Q[uint64, *Shape](int(bytes) / each)
	return []candidate{
		{o.GetIfPresent, func(k uint64, s *Shape) { o.Set(k, s) }, "otter"},
		{r.Get, func(k uint64, s *Shape) { r.Set(k, s, int64(s.weight())) }, "ristretto"},
		{plain.Get, func(k uint64, s *Shape) { plain.Add(k, s) }, "lru"},
		{two.Get, two.Add, "2q"},
	}
}

// BenchmarkCachesInAFlood tells what part of the hot shapes each cache finds among twenty new shapes for each hot one,
// and what heap it holds then. One run is one measurement: -benchtime 1x.
func BenchmarkCachesInAFlood(b *testing.B) {
	const bytes, each, hot, takes, flood = 1 << 20, 700, 400, 20_000, 20
	for at, c := range candidates(bytes, each) {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				c := candidates(bytes, each)[at]
				before := heap()
				r := rand.New(rand.NewPCG(1, 2))
				z := rand.NewZipf(r, 1.1, 4, hot-1)
				found, counted, next := 0, 0, uint64(1<<32)
				take := func(k uint64, sized int) bool {
					_, ok := c.get(k)
					if !ok {
						c.put(k, &Shape{form: make([]byte, sized)})
					}
					return ok
				}
				for i := range takes {
					for range flood {
						next++
						take(next, 100+int(next%300))
					}
					ok := take(z.Uint64(), 200)
					if i > takes/10 {
						counted++
						if ok {
							found++
						}
					}
				}
				b.ReportMetric(float64(found)/float64(counted), "hot-found")
				b.ReportMetric(float64(int64(heap())-int64(before))/(1<<10), "KiB")
				runtime.KeepAlive(c)
			}
		})
	}
}

func BenchmarkCachesFound(b *testing.B) {
	for _, c := range candidates(1<<20, 700) {
		for k := range uint64(500) {
			c.put(k, &Shape{form: make([]byte, 200)})
		}
		b.Run(fmt.Sprint(c.name), func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for k := uint64(0); pb.Next(); k++ {
					c.get(k % 500)
				}
			})
		})
	}
}

// BenchmarkMillionShapes is the long flood: a million forms seen once and the heap at half and at the end.
func BenchmarkMillionShapes(b *testing.B) {
	for b.Loop() {
		calm, _, _ := hitRate(b, 200, 100_000, 0)
		rate, half, full := hitRate(b, 200, 100_000, 1_000_000)
		b.ReportMetric(calm, "hot-calm")
		b.ReportMetric(rate, "hot-flood")
		b.ReportMetric(float64(half)/(1<<10), "KiB-half")
		b.ReportMetric(float64(full)/(1<<10), "KiB-end")
	}
}
