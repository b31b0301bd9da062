// Package fit fits straight lines to costs that were measured at several sizes: the slope is how a cost grows with the size. It
// reports how far the values are from the line, so that a curve is not taken for one. It keeps no state, and is for measurements
// only.
package fit

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Point is a value that was measured at a size. A size may have several.
type Point struct{ Size, Value float64 }

// Line is a least-squares fit to points, and how far they are from it.
type Line struct {
	Intercept float64 // in the value's unit
	Slope     float64 // in the value's unit, for each unit of the size
	Sizes     int     // number of different sizes
	Points    int
	Residual  float64 // the greatest distance of a point from the line, as a share of the greatest value
	Bend      float64 // slope between the means at the two largest sizes over that at the two smallest; 1 is straight, NaN or infinite where the latter is 0
}

// MinSizes is the least number of different sizes that a line is fitted to.
const MinSizes = 4

// maxStraightResidual and maxStraightBend bound what counts as straight.
const (
	maxStraightResidual = 0.1
	maxStraightBend     = 2
)

// ErrTooFew is that points are of fewer than MinSizes sizes.
var ErrTooFew = errors.New("a slope needs values at four sizes or more")

// New fits a line. The error is ErrTooFew.
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

// Straight reports whether the line describes the points: none is far from it.
func (l Line) Straight() bool { return l.Residual <= maxStraightResidual }

// String returns the line, and how far it can be relied on.
func (l Line) String() string {
	how := "straight"
	switch {
	case l.Straight():
	case l.Bend > maxStraightBend:
		how = "steeper towards large sizes: no line"
	case l.Bend >= 0 && l.Bend < 1.0/maxStraightBend:
		how = "flatter towards large sizes: no line"
	default:
		how = "scattered: no line"
	}
	return fmt.Sprintf("%.4g + %.4g x size (%d points at %d sizes, greatest residual %.0f%%, bend %.1f: %s)",
		l.Intercept, l.Slope, l.Points, l.Sizes, 100*l.Residual, l.Bend, how)
}

func slope(a, b Point) float64 { return (b.Value - a.Value) / (b.Size - a.Size) }

// meansBySize returns the mean at each size, in the order of sizes.
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

// Series are points by the name of what was measured.
type Series map[string][]Point

// Add adds a value that was measured at a size.
func (s Series) Add(name string, size, value float64) { s[name] = append(s[name], Point{size, value}) }

// Lines returns each series' line as a text, sorted by name; one with too few sizes says so.
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
