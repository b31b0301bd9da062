package fakeserver

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/sqlclass"
)

// bookingStatements returns statements of a booking service, cheap and expensive ones. Their literals differ from call to call.
func bookingStatements(r *rand.Rand) []string {
	n := r.IntN
	list := func(most int) (s string) {
		for i := range 1 + n(most) {
			if i > 0 {
				s += ", "
			}
			s += fmt.Sprint(n(1500))
		}
		return s
	}
	return []string{
		fmt.Sprintf("SELECT * FROM houses WHERE id = %d", n(50)),
		fmt.Sprintf("SELECT name FROM houses WHERE area = %d", n(7)),
		"SELECT * FROM houses",
		fmt.Sprintf("SELECT * FROM houses ORDER BY name LIMIT %d", 1+n(20)),
		fmt.Sprintf("SELECT * FROM tables WHERE house = %d", n(50)),
		fmt.Sprintf("SELECT * FROM tables WHERE house = %d AND seats >= %d", n(50), n(8)),
		fmt.Sprintf("SELECT * FROM tables WHERE seats > %d", n(8)),
		"SELECT count(*) FROM tables",
		fmt.Sprintf("SELECT * FROM bookings WHERE id = %d", n(1500)),
		fmt.Sprintf("SELECT * FROM bookings WHERE diner = 'diner-%d'", n(300)),
		fmt.Sprintf("SELECT * FROM bookings WHERE id IN (%s)", list(200)),
		fmt.Sprintf("SELECT * FROM bookings LIMIT %d", 1+n(400)),
		fmt.Sprintf("SELECT * FROM bookings WHERE guests > %d", n(9)),
		fmt.Sprintf("SELECT * FROM bookings WHERE diner LIKE '%%%d%%'", n(100)),
		fmt.Sprintf("SELECT * FROM bookings WHERE guests > %d ORDER BY day DESC", n(9)),
		"SELECT count(*) FROM bookings",
		"SELECT day, count(*) FROM bookings GROUP BY day",
		fmt.Sprintf("SELECT house, count(*) FROM bookings WHERE guests > %d GROUP BY house", n(9)),
		fmt.Sprintf("SELECT b.id, t.seats FROM bookings b JOIN tables t ON t.id = b.table_id WHERE b.id = %d", n(1500)),
		fmt.Sprintf("SELECT b.id, t.seats FROM bookings b JOIN tables t ON t.id = b.table_id WHERE b.diner = 'diner-%d'", n(300)),
		"SELECT b.id, t.seats FROM bookings b JOIN tables t ON t.id = b.table_id",
		fmt.Sprintf("SELECT b.id FROM bookings b JOIN tables t ON t.id = b.table_id JOIN houses h ON h.id = t.house WHERE h.area = %d", n(7)),
		"SELECT h.name, count(*) FROM houses h JOIN tables t ON t.house = h.id GROUP BY h.name",
		fmt.Sprintf("SELECT t.id FROM tables t JOIN houses h ON h.id = t.house WHERE t.id = %d", n(200)),
		fmt.Sprintf("INSERT INTO bookings (id, house, diner) VALUES (%d, '1', 'new')", 9000+n(1000)),
		fmt.Sprintf("INSERT INTO bookings (id, house, diner) VALUES (%d, '1', 'new'), (2, '1', 'new'), (3, '2', 'new')", 9000+n(1000)),
		fmt.Sprintf("UPDATE bookings SET guests = 4 WHERE id = %d", n(1500)),
		fmt.Sprintf("UPDATE tables SET seats = 4 WHERE seats > %d", n(8)),
		fmt.Sprintf("UPDATE bookings SET guests = 3 WHERE house = %d", n(50)),
	}
}

// spearman returns Spearman's rank correlation of two series. Equal values share their mean rank.
func spearman(x, y []float64) float64 {
	rank := func(v []float64) []float64 {
		at := make([]int, len(v))
		for i := range at {
			at[i] = i
		}
		sort.Slice(at, func(a, b int) bool { return v[at[a]] < v[at[b]] })
		r := make([]float64, len(v))
		for i := 0; i < len(at); {
			j := i
			for j < len(at) && v[at[j]] == v[at[i]] {
				j++
			}
			for k := i; k < j; k++ {
				r[at[k]] = float64(i+j-1) / 2
			}
			i = j
		}
		return r
	}
	a, b := rank(x), rank(y)
	var meanA, meanB float64
	for i := range a {
		meanA, meanB = meanA+a[i]/float64(len(a)), meanB+b[i]/float64(len(a))
	}
	var sumAB, sumAA, sumBB float64
	for i := range a {
		sumAB, sumAA, sumBB = sumAB+(a[i]-meanA)*(b[i]-meanB), sumAA+(a[i]-meanA)*(a[i]-meanA), sumBB+(b[i]-meanB)*(b[i]-meanB)
	}
	return sumAB / math.Sqrt(sumAA*sumBB)
}

// The estimated costs rank statements like their execution times on a fake server: at first by the shape of the statements
// alone, then by what was measured. The fake server takes times that depend on the rows that it really touches.
func TestCostsRankStatementsAsMeasuredTimesDo(t *testing.T) {
	g, err := Start(NewBookingData(50, 200, 1500), 1, 1, 200*time.Microsecond, 20*time.Microsecond)
	require.NoError(t, err)
	defer g.Close()
	c, err := Dial(g.Servers[0].Address())
	require.NoError(t, err)
	defer c.Close()
	classifier := sqlclass.New(sqlclass.Options{CacheBytes: 1 << 20})
	r := rand.New(rand.NewPCG(3, 5))
	type execution struct {
		s        *sqlclass.NormalizedStatement
		f        sqlclass.TextDetails
		took     time.Duration
		estimate time.Duration
	}
	run := func(sql string) execution {
		s, f, syntaxError := classifier.Classify([]byte(sql))
		require.Nil(t, syntaxError)
		estimate := classifier.Estimate(s, &f)
		startedAt := time.Now()
		_, err := c.Query(sql + " /* id=x */")
		require.NoError(t, err)
		return execution{s, f, time.Since(startedAt), estimate}
	}
	rankCorrelation := func(executions []execution) float64 {
		var x, y []float64
		for _, s := range executions {
			x, y = append(x, s.estimate.Seconds()), append(y, s.took.Seconds())
		}
		return spearman(x, y)
	}
	var before, after []execution
	for range 3 { // nothing is learned yet
		for _, sql := range bookingStatements(r) {
			before = append(before, run(sql))
		}
	}
	for _, s := range before {
		classifier.Observe(s.s, &s.f, s.took)
	}
	for range 3 {
		for _, sql := range bookingStatements(r) {
			s := run(sql)
			after = append(after, s)
			classifier.Observe(s.s, &s.f, s.took)
		}
	}
	t.Logf("Spearman's rank correlation with %d times measured: %.3f by the shape alone, %.3f once learned", len(before),
		rankCorrelation(before), rankCorrelation(after))
	assert.Greater(t, rankCorrelation(before), 0.6)
	assert.Greater(t, rankCorrelation(after), 0.8)
}

func TestRowsTouchedMeasureWorkOfStatement(t *testing.T) {
	d := NewBookingData(10, 40, 1000)
	scan, key := d.Run("SELECT * FROM bookings WHERE guests = 3"), d.Run("SELECT * FROM bookings WHERE id = 3")
	assert.Equal(t, 1000, scan.RowsTouched)
	assert.Equal(t, 2, key.RowsTouched)
	assert.Equal(t, 10, d.Run("SELECT * FROM bookings LIMIT 10").RowsTouched)
	join := d.Run("SELECT b.id FROM bookings b JOIN tables t ON t.id = b.table_id WHERE t.seats = 4")
	assert.Len(t, join.Rows, 125)
	assert.True(t, d.Run("DELETE FROM bookings WHERE house = 3").Changed)
	assert.Len(t, d.Run("SELECT * FROM bookings").Rows, 900)
	assert.Equal(t, [][]string{{"", "900"}}, d.Run("SELECT count(*) FROM bookings").Rows)
	d.Run("INSERT INTO houses (id, name) VALUES (77, 'new'), (78, 'newer')")
	assert.Len(t, d.Run("SELECT * FROM houses WHERE id IN (77, 78, 79)").Rows, 2)
	d.Run("UPDATE houses SET area = 9 WHERE id = 77")
	rows := d.Run("SELECT * FROM houses WHERE area = 9").Rows
	assert.Equal(t, "new", slices.Concat(rows...)[1])
	assert.False(t, d.Run("SELECT next_seat(1)").Parsed)
}
