package sqlclass

import (
	"math"
	"sync"
	"time"
)

// costModel learns how long statements take. Times span five powers of ten and have tails, so all is in logarithms: a
// line through (log of the rows estimated, log of the time taken) of all statements gives one that was never measured
// its first estimate; a statement's own mean, moved along that line to what this text's lists and LIMIT say, takes over
// as it is seen more often. Sums decay, so that what has slowly changed is forgotten.
//
// The line is a least-squares fit with exponential forgetting, as recursive least squares has it.
type costModel struct {
	mu               sync.Mutex // guards all fields
	n, x, y, xx, xy  float64    // decaying sums
	intercept, slope float64
}

const (
	initialIntercept = -7.6 // log of the seconds that one row takes before anything was measured: half a millisecond
	initialSlope     = 0.6
	forgettingRate   = 1.0 / 1024 // of the sums, for each measurement
	maxMeasurements  = 32         // of a statement, that its mean looks back over
	priorWeight      = 2          // measurements that count as much as the line does
	longestEstimate  = time.Hour
)

func newCostModel() *costModel { return &costModel{intercept: initialIntercept, slope: initialSlope} }

func (m *costModel) line() (intercept, slope float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.intercept, m.slope
}

// observe adds a measurement: the logarithms of rows and seconds.
func (m *costModel) observe(x, y float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	keep := 1 - forgettingRate
	m.n, m.x, m.y = m.n*keep+1, m.x*keep+x, m.y*keep+y
	m.xx, m.xy = m.xx*keep+x*x, m.xy*keep+x*y
	// As if a few measurements had confirmed the initial line: no division by zero.
	const few = 4
	n, sx, sy := m.n+few, m.x+few*2, m.y+few*(initialIntercept+2*initialSlope)
	sxx, sxy := m.xx+few*8, m.xy+few*(2*initialIntercept+8*initialSlope)
	if spread := n*sxx - sx*sx; spread > 0 {
		m.slope = min(max((n*sxy-sx*sy)/spread, 0), 2)
	}
	m.intercept = (sy - m.slope*sx) / n
}

// measurements is what was measured of one normal form.
type measurements struct {
	mu      sync.Mutex // guards all fields
	n, x, y float64    // count up to maxMeasurements, means of the logarithms of rows and seconds
}

// EstimatedRows returns how many rows a text is thought to touch, from its normal form and details alone.
func (s *NormalizedStatement) EstimatedRows(d *Details) float64 { return s.rows.forDetails(d) }

// Estimate returns how long a text may take at a server, by its estimated rows and by measurements.
func (c *Classifier) Estimate(s *NormalizedStatement, d *Details) time.Duration {
	x := math.Log(s.EstimatedRows(d))
	a, b := c.costs.line()
	y := a + b*x
	s.measured.mu.Lock()
	if s.measured.n > 0 {
		part := s.measured.n / (s.measured.n + priorWeight)
		y += part * (s.measured.y + b*(x-s.measured.x) - y)
	}
	s.measured.mu.Unlock()
	return time.Duration(min(math.Exp(y), longestEstimate.Seconds()) * float64(time.Second))
}

// Observe records how long a text took at a server, from its first byte sent to the last byte received.
func (c *Classifier) Observe(s *NormalizedStatement, d *Details, took time.Duration) {
	if took <= 0 {
		return
	}
	x, y := math.Log(s.EstimatedRows(d)), math.Log(took.Seconds())
	c.costs.observe(x, y)
	s.measured.mu.Lock()
	defer s.measured.mu.Unlock()
	s.measured.n = min(s.measured.n+1, maxMeasurements)
	s.measured.x += (x - s.measured.x) / s.measured.n
	s.measured.y += (y - s.measured.y) / s.measured.n
}
