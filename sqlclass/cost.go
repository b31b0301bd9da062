package sqlclass

import (
	"math"
	"sync"
	"time"
)

// costs learns what statements take. Times span five powers of ten and have tails, so all is kept in logarithms:
// a line through (log of the rows guessed, log of the time taken) of all shapes gives a shape never measured its
// first estimate; a shape's own mean, moved along that line to what this text's lists and LIMIT say, takes over
// as it is seen more often. Sums fade, so what has slowly changed is forgotten.
//
// The line is a least-squares fit with exponential forgetting, as recursive least squares has it.
type costs struct {
	mu                 sync.Mutex
	n, x, y, xx, xy    float64
	intercept, incline float64
}

const (
	firstTime  = -7.6 // log of the seconds that one row takes before anything was measured: half a millisecond
	firstSlope = 0.6
	fadeAll    = 1.0 / 1024 // of what all shapes say, for each measurement
	ownMost    = 32         // measurements of a shape's own that its mean looks back over
	believed   = 2          // measurements that count as much as the line does
)

func newCosts() *costs { return &costs{intercept: firstTime, incline: firstSlope} }

func (k *costs) line() (intercept, incline float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.intercept, k.incline
}

func (k *costs) learn(x, y float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	keep := 1 - fadeAll
	k.n, k.x, k.y = k.n*keep+1, k.x*keep+x, k.y*keep+y
	k.xx, k.xy = k.xx*keep+x*x, k.xy*keep+x*y
	// As if a few measurements had said what is taken for granted at first: no division by nothing.
	const few = 4
	n, mx, my := k.n+few, k.x+few*2, k.y+few*(firstTime+2*firstSlope)
	xx, xy := k.xx+few*8, k.xy+few*(2*firstTime+8*firstSlope)
	if spread := n*xx - mx*mx; spread > 0 {
		k.incline = min(max((n*xy-mx*my)/spread, 0), 2)
	}
	k.intercept = (my - k.incline*mx) / n
}

// own is what was measured of one shape.
type own struct {
	mu      sync.Mutex
	n, x, y float64 // count up to ownMost, means of the logarithms of rows and seconds
}

// rowsFor is the guess for a text of the form, in rows touched.
func (w *work) rowsFor(f *Details) float64 {
	rows := w.rows + w.perItem*float64(f.ListItems)
	if w.limited && f.Limit >= 0 {
		rows = min(rows, 1+float64(f.Limit))
	}
	return max(rows, 1)
}

// EstimatedRows is how many rows a text is thought to touch, from its form and facts alone.
func (s *NormalizedStatement) EstimatedRows(f *Details) float64 { return s.work.rowsFor(f) }

// Estimate is how long a text may take at a member, by the guess and by what was measured.
func (c *Classifier) Estimate(s *NormalizedStatement, f *Details) time.Duration {
	x := math.Log(s.EstimatedRows(f))
	a, b := c.costs.line()
	y := a + b*x
	s.own.mu.Lock()
	if s.own.n > 0 {
		part := s.own.n / (s.own.n + believed)
		y += part * (s.own.y + b*(x-s.own.x) - y)
	}
	s.own.mu.Unlock()
	return time.Duration(min(math.Exp(y), longestEstimate.Seconds()) * float64(time.Second))
}

const longestEstimate = time.Hour

// Observe takes how long a text of the shape took at a member, from its first byte out to its last byte in.
func (c *Classifier) Observe(s *NormalizedStatement, f *Details, took time.Duration) {
	if took <= 0 {
		return
	}
	x, y := math.Log(s.EstimatedRows(f)), math.Log(took.Seconds())
	c.costs.learn(x, y)
	s.own.mu.Lock()
	defer s.own.mu.Unlock()
	s.own.n = min(s.own.n+1, ownMost)
	s.own.x += (x - s.own.x) / s.own.n
	s.own.y += (y - s.own.y) / s.own.n
}
