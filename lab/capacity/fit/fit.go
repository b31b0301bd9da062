// Package fit fits straight lines to costs that were measured at several sizes. The slope tells how a cost grows with the size. The
// package also reports how far the values are from the line, so that a curve is not mistaken for a line. It keeps no state and is for
// measurements only.
package fit

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Point is a value that was measured at a size. There may be several points of the same size.
type Point struct{ Size, Value float64 }

// Line is a least-squares fit to points, with measures of how well it fits.
type Line struct {
	Intercept float64 // in the value's unit
	Slope     float64 // in the value's unit per unit of the size
	Sizes     int     // number of different sizes
	Points    int     // number of points
	Residual  float64 // the greatest distance of a point from the line, as a fraction of the greatest absolute value
	// Bend is the slope between the mean values at the two largest sizes, divided by the slope between those at the two smallest.
	// It is 1 for a straight line, and NaN or infinite if the slope at the smallest sizes is 0.
	Bend float64
}

// MinSizes is the minimum number of different sizes for a fit.
const MinSizes = 4

// Criteria for straight lines.
const (
	maxStraightResidual = 0.1 // above it the points are not on a line
	maxStraightBend     = 2   // above it, or below its inverse, points that are not on a line are on a curve
)

// ErrTooFew means that the points have fewer than MinSizes different sizes.
var ErrTooFew = errors.New("a slope needs values at four sizes or more")

// New fits a line to points. The error is ErrTooFew.
func New(points []Point) (Line, error) {
	means := meansBySize(points)
	if len(means) < MinSizes {
		return Line{}, ErrTooFew
	}
	var xs, ys []float64
	for _, p := range points {
		xs, ys = append(xs, p.Size), append(ys, p.Value)
	}
	l := Line{Sizes: len(means), Points: len(points)}
	l.Intercept, l.Slope = stat.LinearRegression(xs, ys, nil, false)
	largest := 0.0
	for _, p := range points {
		largest = max(largest, math.Abs(p.Value))
	}
	for _, p := range points {
		if largest > 0 {
			l.Residual = max(l.Residual, math.Abs(p.Value-l.At(p.Size))/largest)
		}
	}
	n := len(means)
	l.Bend = slope(means[n-2], means[n-1]) / slope(means[0], means[1])
	return l, nil
}

// At returns the line's value at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Straight reports whether all points are close enough to the line for it to describe them.
func (l Line) Straight() bool { return l.Residual <= maxStraightResidual }

// String returns the line's equation and an assessment of its fit.
func (l Line) String() string {
	shape := "straight"
	switch {
	case l.Straight():
	case l.Bend > maxStraightBend:
		shape = "steeper towards large sizes: no line"
	case l.Bend >= 0 && l.Bend < 1.0/maxStraightBend:
		shape = "flatter towards large sizes: no line"
	default:
		shape = "scattered: no line"
	}
	return fmt.Sprintf("%.4g + %.4g x size (%d points at %d sizes, greatest residual %.0f%%, bend %.1f: %s)",
		l.Intercept, l.Slope, l.Points, l.Sizes, 100*l.Residual, l.Bend, shape)
}

// slope returns the slope of the line through two points.
func slope(a, b Point) float64 { return (b.Value - a.Value) / (b.Size - a.Size) }

// meansBySize returns the mean value at each size, in ascending order of sizes.
func meansBySize(points []Point) (means []Point) {
	sums, counts := map[float64]float64{}, map[float64]float64{}
	for _, p := range points {
		sums[p.Size] += p.Value
		counts[p.Size]++
	}
	for size, sum := range sums {
		means = append(means, Point{size, sum / counts[size]})
	}
	slices.SortFunc(means, func(a, b Point) int { return int(math.Copysign(1, a.Size-b.Size)) })
	return means
}

// Series maps the name of what was measured to its points.
type Series map[string][]Point

// Add adds a value that was measured at a size.
func (s Series) Add(name string, size, value float64) { s[name] = append(s[name], Point{size, value}) }

// Lines returns the fitted line of each series as text, sorted by name. For a series with too few sizes the text says so.
func (s Series) Lines() (lines []string) {
	for _, name := range slices.Sorted(maps.Keys(s)) {
		text := ErrTooFew.Error()
		if l, err := New(s[name]); err == nil {
			text = l.String()
		}
		lines = append(lines, name+" = "+text)
	}
	return lines
}
