package sqlclass

import (
	"math"
	"sync"
	"time"
)

// costModel estimates the latency of statements from measurements. Latencies span five powers of ten and have long tails,
// so the model works on logarithms. It fits a line through the points (log of the estimated rows, log of the latency) of
// all statements. The line gives the estimate for a statement that was never measured. The more often a statement is
// measured, the more its own mean counts; the slope of the line adjusts that mean to the list lengths and the LIMIT of
// the text in question.
//
// The line is a least-squares fit with exponential forgetting, as in recursive least squares: the sums decay, so the model
// follows gradual changes.
type costModel struct {
	mu               sync.Mutex // guards all fields
	n, x, y, xx, xy  float64    // decaying sums: the number of measurements, x, y, x*x and x*y; x is log(rows), y log(seconds)
	intercept, slope float64
}

const (
	initialIntercept = -7.6 // log of the seconds for one row before the first measurement: half a millisecond
	initialSlope     = 0.6
	forgettingRate   = 1.0 / 1024 // share of the sums that is forgotten at each measurement
	maxMeasurements  = 32         // the mean of a statement is over about this many of its last measurements
	priorWeight      = 2          // weight of the line's estimate, in measurements of the statement
	maxEstimate      = time.Hour
)

// newCostModel returns a model without measurements, whose estimates come from the initial line.
func newCostModel() *costModel { return &costModel{intercept: initialIntercept, slope: initialSlope} }

// line returns the current line: log(seconds) = intercept + slope * log(estimated rows), with natural logarithms.
func (m *costModel) line() (intercept, slope float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.intercept, m.slope
}

// observe adds a measurement: x is the logarithm of the estimated rows, y that of the seconds taken.
func (m *costModel) observe(x, y float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	keep := 1 - forgettingRate
	m.n, m.x, m.y = m.n*keep+1, m.x*keep+x, m.y*keep+y
	m.xx, m.xy = m.xx*keep+x*x, m.xy*keep+x*y
	// A few measurements on the initial line are added to the sums, so that there is no division by zero at the start.
	const priorCount = 4
	n, sx, sy := m.n+priorCount, m.x+priorCount*2, m.y+priorCount*(initialIntercept+2*initialSlope)
	sxx, sxy := m.xx+priorCount*8, m.xy+priorCount*(2*initialIntercept+8*initialSlope)
	if spread := n*sxx - sx*sx; spread > 0 {
		m.slope = min(max((n*sxy-sx*sy)/spread, 0), 2)
	}
	m.intercept = (sy - m.slope*sx) / n
}

// measurements has the means of the measurements of one normal form.
type measurements struct {
	mu      sync.Mutex // guards all fields
	n, x, y float64    // number of measurements, at most maxMeasurements; means of log(rows) and log(seconds)
}

// EstimatedRows returns the estimated number of rows that a text touches, from its normal form and details alone.
func (s *NormalizedStatement) EstimatedRows(d *TextDetails) float64 { return s.rows.forDetails(d) }

// Estimate returns the expected latency of a text at a server, from its estimated rows and the measurements.
func (c *Classifier) Estimate(s *NormalizedStatement, d *TextDetails) time.Duration {
	x := math.Log(s.EstimatedRows(d))
	a, b := c.costs.line()
	y := a + b*x
	s.measured.mu.Lock()
	if s.measured.n > 0 {
		part := s.measured.n / (s.measured.n + priorWeight)
		y += part * (s.measured.y + b*(x-s.measured.x) - y)
	}
	s.measured.mu.Unlock()
	return time.Duration(min(math.Exp(y), maxEstimate.Seconds()) * float64(time.Second))
}

// Observe records the measured latency of a text at a server: the time from the first byte sent to the last byte received.
// A latency of 0 or less is ignored.
func (c *Classifier) Observe(s *NormalizedStatement, d *TextDetails, took time.Duration) {
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
