package fit

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// points returns the points of a function at the given sizes.
func points(f func(x float64) float64, sizes ...float64) (all []Point) {
	for _, x := range sizes {
		all = append(all, Point{x, f(x)})
	}
	return all
}

func TestLineIsDistinguishedFromCurves(t *testing.T) {
	line, err := New(points(func(x float64) float64 { return 7 + 3*x }, 50, 150, 300, 540))
	require.NoError(t, err)
	assert.InDelta(t, 7, line.Intercept, 1e-9)
	assert.InDelta(t, 3, line.Slope, 1e-9)
	assert.InDelta(t, 7+3*1080, line.At(1080), 1e-9)
	assert.InDelta(t, 1, line.Bend, 1e-9)
	assert.True(t, line.Straight())

	square, err := New(points(func(x float64) float64 { return x * x }, 50, 150, 300, 540))
	require.NoError(t, err)
	assert.False(t, square.Straight())
	assert.Greater(t, square.Bend, 2.0)
	assert.Contains(t, square.String(), "steeper")

	flat, err := New(points(func(x float64) float64 { return min(x, 100) }, 50, 150, 300, 540))
	require.NoError(t, err)
	assert.False(t, flat.Straight())
	assert.Contains(t, flat.String(), "flatter")
}

func TestOutlierIsReported(t *testing.T) {
	all := append(points(func(x float64) float64 { return x }, 10, 20, 30, 40), Point{20, 60})
	line, err := New(all)
	require.NoError(t, err)
	assert.Equal(t, 5, line.Points)
	assert.Equal(t, 4, line.Sizes)
	assert.Greater(t, line.Residual, 0.4)
	assert.Contains(t, line.String(), "no line")
}

func TestTooFewSizes(t *testing.T) {
	_, err := New(append(points(func(x float64) float64 { return x }, 10, 20, 30), Point{30, 31}))
	require.ErrorIs(t, err, ErrTooFew)
	assert.Equal(t, []string{"bytes = " + ErrTooFew.Error()}, Series{"bytes": {{10, 1}}}.Lines())
}

func TestConstantValueIsStraight(t *testing.T) {
	line, err := New(points(func(float64) float64 { return 100 }, 50, 150, 300, 540))
	require.NoError(t, err)
	assert.InDelta(t, 0, line.Slope, 1e-9)
	assert.True(t, line.Straight())
}

// record holds the fields of a line of "routertest capacity --json" that the benchmark reads.
type record struct {
	Fleet, Databases      float64
	Phase, Role, Resource string
	Unit                  string
	Value                 *float64
	Partial               any
}

// BenchmarkRecords fits lines to the records of "routertest capacity --json". CAPACITY_RECORDS names the file with the records.
// CAPACITY_BY is the size against which values are fitted: fleet, which is the default, or databases. Partial records are left out.
func BenchmarkRecords(b *testing.B) {
	file, err := os.Open(os.Getenv("CAPACITY_RECORDS"))
	if err != nil {
		b.Skip("set CAPACITY_RECORDS to a file that routertest capacity --json wrote")
	}
	defer file.Close()
	series := Series{}
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var r record
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			b.Fatal(err)
		}
		if r.Resource == "" || r.Value == nil || r.Partial != nil && r.Partial != "" && r.Partial != false {
			continue
		}
		size := r.Fleet
		if os.Getenv("CAPACITY_BY") == "databases" {
			size = r.Databases
		}
		series.Add(r.Phase+" / "+r.Role+" / "+r.Resource+" ["+r.Unit+"]", size, *r.Value)
	}
	for _, line := range series.Lines() {
		fmt.Println(line)
	}
}
