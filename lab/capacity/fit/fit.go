// Package fit finds slopes: how a cost grows with a size, from values that were measured at several sizes. It tells how far
// the values are from the straight line, so that a curve is not taken for one. For measurements only.
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

// Line is the straight line of least squares through points, and how far they are from it.
type Line struct {
	Intercept float64 // in the value's unit
	Slope     float64 // in the value's unit, for one of the size
	Sizes     int     // different ones
	Points    int
	Residual  float64 // the greatest distance of a point from the line, as a share of the greatest value
	Bend      float64 // of the means by size: the last piece's slope over the first piece's; 1 is straight, NaN where the first is flat
}

// LeastSizes is the number of different sizes from which on a line is drawn.
const LeastSizes = 4

// straightResidual and straightBend bound what counts as straight.
const (
	straightResidual = 0.1
	straightBend     = 2
)

// ErrTooFew is that there are points at fewer than LeastSizes sizes.
var ErrTooFew = errors.New("a slope needs values at four sizes or more")

// New draws the line. The error is ErrTooFew.
func New(points []Point) (Line, error) {
	means := byMean(points)
	if len(means) < LeastSizes {
		return Line{}, ErrTooFew
	}
	var xs, ys []float64
	for _, p := range points {
		xs, ys = append(xs, p.Size), append(ys, p.Value)
	}
	l := Line{Sizes: len(means), Points: len(points)}
	l.Intercept, l.Slope = stat.LinearRegression(xs, ys, nil, false)
	most := 0.0
	for _, p := range points {
		most = max(most, math.Abs(p.Value))
	}
	for _, p := range points {
		if most > 0 {
			l.Residual = max(l.Residual, math.Abs(p.Value-l.At(p.Size))/most)
		}
	}
	n := len(means)
	l.Bend = slope(means[n-2], means[n-1]) / slope(means[0], means[1])
	return l, nil
}

// At is the line's value at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Straight tells whether a line describes the points: none is far from it.
func (l Line) Straight() bool { return l.Residual <= straightResidual }

// String tells the line with what is to be known of it.
func (l Line) String() string {
	how := "straight"
	switch {
	case l.Straight():
	case l.Bend > straightBend:
		how = "steeper towards large sizes: no line"
	case l.Bend >= 0 && l.Bend < 1.0/straightBend:
		how = "flatter towards large sizes: no line"
	default:
		how = "scattered: no line"
	}
	return fmt.Sprintf("%.4g + %.4g x size (%d points at %d sizes, greatest residual %.0f%%, bend %.1f: %s)",
		l.Intercept, l.Slope, l.Points, l.Sizes, 100*l.Residual, l.Bend, how)
}

func slope(a, b Point) float64 { return (b.Value - a.Value) / (b.Size - a.Size) }

// byMean gives the mean at each size, sizes rising.
func byMean(points []Point) (means []Point) {
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

// Series are points by what was measured.
type Series map[string][]Point

// Add adds a value.
func (s Series) Add(what string, size, value float64) { s[what] = append(s[what], Point{size, value}) }

// Lines tells each series' line, in the order of their names; one with too few sizes says so.
func (s Series) Lines() (lines []string) {
	for _, what := range slices.Sorted(maps.Keys(s)) {
		text := ErrTooFew.Error()
		if l, err := New(s[what]); err == nil {
			text = l.String()
		}
		lines = append(lines, what+" = "+text)
	}
	return lines
}
