package sqlclass

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// normalize returns the normal form of a valid text.
func normalize(t testing.TB, text string) string {
	var s Scanner
	b, _, syntaxErr := s.Normalize(nil, []byte(text))
	require.Nil(t, syntaxErr, text)
	return string(b)
}

func TestNormalizationFoldsSpellingAndLiterals(t *testing.T) {
	for _, c := range []struct{ a, b string }{
		{"SELECT A FROM t WHERE x = 'it''s'", "select a /* x /* y */ */ from T where X=5 -- end"},
		{"SELECT 1 IN (1, 2, -3)", "SELECT 1 IN ($1)"},
		{"INSERT INTO t VALUES (1, 'a'), (2, 'b')", "INSERT INTO t VALUES (1, E'a\\'')"},
		{"SELECT ARRAY[1,2]", "SELECT ARRAY[3]"},
		{"SELECT $q$ ; $q$", "SELECT U&'\\0061'"},
		{"SELECT 'a'\n 'b', 0x1F, 1.5e-3, .5", "SELECT 'a', 1, 1, 1"},
	} {
		assert.Equal(t, normalize(t, c.a), normalize(t, c.b))
	}
	for _, c := range []struct{ a, b string }{
		{`SELECT a ? 'b'`, `SELECT a 'b' 'c'`}, {`SELECT "A"`, `SELECT a`}, {`SELECT a - -1`, `SELECT a --1`},
		{`SELECT 'a\' '`, `SELECT 'a' '`}, {`SELECT f(1), (2)`, `SELECT f(1)`},
	} {
		var s Scanner
		a, _, _ := s.Normalize(nil, []byte(c.a))
		first := string(a)
		b, _, _ := s.Normalize(nil, []byte(c.b))
		assert.NotEqual(t, first, string(b))
	}
}

func TestTruncatedTextsAreSyntaxErrorsWithOffset(t *testing.T) {
	c := New(Options{CacheBytes: MinCacheBytes})
	for text, at := range map[string]int{
		"SELECT 'abc": 7, "SELECT 1 /* a /* b */ ": 9, `SELECT "a`: 7, "SELECT $x$ a $y$": 7, "SELECT E'a\\'": 7,
		"SELECT U&\"a": 7, "SELECT 'a'\n'b": 7, "SELECT 'é\xff'": 10, "SELECT $": 7, "SELECT \x00": 7,
	} {
		_, _, syntaxErr := c.Classify([]byte(text))
		require.NotNil(t, syntaxErr, text)
		assert.Equal(t, at, syntaxErr.Offset, "%q: %v", text, syntaxErr)
	}
	assert.Zero(t, c.Stats().Entries)
}

func TestReasonsHaveTheirOffset(t *testing.T) {
	c := New(Options{CacheBytes: MinCacheBytes, Lists: corpusLists()})
	for text, want := range map[string]string{
		"SELECT 1, unlisted(2)":                                          "calls unlisted, which is on no list of reading functions and types@10",
		"SELECT * FROM t FOR UPDATE":                                     "locks rows@20",
		"WITH x AS (DELETE FROM t) TABLE x":                              "changes data by delete@11",
		"SELECT 1; SELECT 2":                                             "several statements@10",
		"SELECT t.next_seat FROM t":                                      "calls next_seat in field notation, which the operator's file lists as writing@9",
		strings.Repeat("(", 200) + "SELECT 1" + strings.Repeat(")", 200): "parentheses too deep within each other@100",
	} {
		v := c.Explain([]byte(text))
		assert.Equal(t, want, fmt.Sprintf("%s@%d", v.Reason, v.ReasonOffset))
		assert.NotEqual(t, Read, v.Class)
	}
}

func TestFieldNamesCanBeRestrictedToColumns(t *testing.T) {
	c := New(Options{CacheBytes: MinCacheBytes, Lists: NewNameLists(nil, nil, []string{"id", "house"})})
	for text, class := range map[string]Class{
		"SELECT b.id, b.house FROM public.bookings b": Read, "SELECT (b).id FROM bookings b": Read,
		"SELECT b.other FROM bookings b": Unknown, "SELECT b.* FROM bookings b": Read,
	} {
		assert.Equal(t, class, c.Explain([]byte(text)).Class, text)
	}
}

// Changes of comments, white space, case or literals must change neither the class nor the normal form.
func TestClassDoesNotDependOnSpelling(t *testing.T) {
	all := corpus(t)
	c := New(Options{CacheBytes: 4 << 20, Lists: corpusLists()})
	rapid.Check(t, func(t *rapid.T) {
		l := all[rapid.IntRange(0, len(all)-1).Draw(t, "statement")]
		want, _, syntaxErr := c.Classify([]byte(l.SQL))
		if syntaxErr != nil {
			return
		}
		other := respell(t, l.SQL)
		again, _, syntaxErr := c.Classify([]byte(other))
		if syntaxErr != nil {
			t.Fatalf("%q became %q: %v", l.SQL, other, syntaxErr)
		}
		if again.Class != want.Class || again.SessionBound != want.SessionBound || string(again.Text()) != string(want.Text()) {
			t.Fatalf("%s %q\n%s %q", want.Class, l.SQL, again.Class, other)
		}
	})
}

// respell returns the text with random changes that must not affect its class, token by token.
func respell(t *rapid.T, text string) string {
	var s Scanner
	s.Reset([]byte(text))
	var b strings.Builder
	gap := rapid.SampledFrom([]string{" ", "\n", "\t ", " /* DELETE */ ", " /* a /* b */ ; */ ", " -- ' \"\n "})
	flip := rapid.Bool()
	previous, previousKind := "", EndOfText
	for tok := s.Next(); tok.Kind != EndOfText && tok.Kind != Invalid; tok = s.Next() {
		piece := text[tok.Start:tok.End]
		// Two string literals with only a line end between them would be one literal; a comment keeps them apart.
		if previousKind == StringLiteral && tok.Kind == StringLiteral {
			b.WriteString(" /* apart */ ")
		} else {
			b.WriteString(gap.Draw(t, "gap"))
		}
		switch {
		case tok.Kind == Word && flip.Draw(t, "case"):
			piece = strings.ToUpper(piece)
			for i := range text[tok.Start:tok.End] {
				if text[tok.Start+i] >= 0x80 {
					piece = text[tok.Start:tok.End]
				}
			}
		case tok.Kind == NumberLiteral && flip.Draw(t, "number"):
			piece = "17"
		case tok.Kind == StringLiteral && !tok.Ambiguous && flip.Draw(t, "text") && previous != "U&":
			piece = rapid.SampledFrom([]string{"'x'", "'it''s; --'", `E'\''`, "$z$ ' $z$", "''"}).Draw(t, "literal")
		}
		b.WriteString(piece)
		previous, previousKind = piece, tok.Kind
	}
	return b.String()
}

// A client may find two normal forms with the same checksum. The test gives two normal forms one checksum in the cache.
func TestNormalFormsWithEqualChecksumsKeepTheirClasses(t *testing.T) {
	c := New(Options{CacheBytes: 1 << 20, Lists: corpusLists()})
	read, _, _ := c.Classify([]byte("SELECT seat_name(1)"))
	w := &scratch{}
	form, _, _ := w.scan.Normalize(nil, []byte("SELECT next_seat(1)"))
	w.digest.ResetWithSeed(c.seed)
	w.digest.Write(form)
	c.cache.Set(w.digest.Sum64(), read) // the entry of one normal form is stored under the checksum of the other
	got, _, syntaxErr := c.Classify([]byte("SELECT next_seat(1)"))
	require.Nil(t, syntaxErr)
	assert.Equal(t, Write, got.Class)
	assert.EqualValues(t, 1, c.Stats().Collisions)
	again, _, _ := c.Classify([]byte("SELECT next_seat(1)"))
	assert.Equal(t, Write, again.Class, "the first entry stays in the cache, and does no harm there")
}

func TestLongStatementsAreClassifiedInBoundedTime(t *testing.T) {
	c := New(Options{CacheBytes: 1 << 20})
	list := "SELECT * FROM t WHERE id IN (" + strings.Repeat("1, ", 80000) + "2)"
	s, details, syntaxErr := c.Classify([]byte(list))
	require.Nil(t, syntaxErr)
	assert.Equal(t, Read, s.Class)
	assert.Equal(t, 80001, details.ListItems)
	names := "SELECT " + strings.Repeat("a_name, ", 30000) + "b FROM t"
	s, _, syntaxErr = c.Classify([]byte(names))
	require.Nil(t, syntaxErr)
	assert.Equal(t, Read, s.Class)
	assert.EqualValues(t, 1, c.Stats().TooLong)
	assert.EqualValues(t, 1, c.Stats().Entries)
	cpuTime := func() time.Duration { // user and system time of this process
		var u syscall.Rusage
		require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	began := cpuTime()
	for _, text := range []string{strings.Repeat("(", 250000), strings.Repeat("/*", 120000), strings.Repeat("$a$b", 60000),
		"SELECT " + strings.Repeat("a.", 120000) + "b", strings.Repeat("'a'\n", 60000), strings.Repeat("$", 250000),
		"SELECT 1 " + strings.Repeat("+-", 120000) + " 1"} {
		c.Classify([]byte(text))
	}
	assert.Less(t, cpuTime()-began, 5*time.Second, "each byte is read a bounded number of times")
}

// A client that never sends the same statement twice must neither increase the memory used nor evict the entries of other
// clients.
func TestFloodOfNewStatementsKeepsMemoryBoundedAndHotEntriesCached(t *testing.T) {
	flood, hot := 200_000, 200
	if testing.Short() {
		flood = 50_000
	}
	baseline, _, _ := hitRate(t, hot, 50_000, 0)
	rate, half, full := hitRate(t, hot, 50_000, flood)
	t.Logf("hot statements cached: %.3f without, %.3f in a flood of %d; heap %d KiB at half, %d KiB at the end", baseline, rate, flood,
		half>>10, full>>10)
	assert.Greater(t, rate, baseline-0.05)
	assert.Less(t, float64(full), float64(half)*1.05+float64(256<<10))
}

// hitRate classifies frequent (hot) statements, drawn from a Zipf distribution, among a flood of new statements. It returns the
// share of the hot lookups that hit the cache, and the heap size in the middle and at the end, in bytes.
func hitRate(t testing.TB, hot, lookups, flood int) (rate float64, half, full uint64) {
	c := New(Options{CacheBytes: 1 << 20, Lists: corpusLists(), Seed: 7})
	r := rand.New(rand.NewPCG(1, 2))
	z := rand.NewZipf(r, 1.1, 4, uint64(hot-1))
	texts := make([][]byte, hot)
	for i := range texts {
		texts[i] = fmt.Appendf(nil, "SELECT c%d, d FROM bookings WHERE house = 'x' AND e%d > 3 ORDER BY d", i, i)
	}
	newPerLookup := float64(flood) / float64(lookups)
	pendingNew, fresh, found, counted := 0.0, 0, 0, 0
	for i := range lookups {
		for pendingNew += newPerLookup; pendingNew >= 1; pendingNew-- {
			fresh++
			c.Classify(fmt.Appendf(nil, "SELECT f%d, g FROM bookings b JOIN tables t ON t.id = b.x%d WHERE house = 'x'", fresh, fresh))
		}
		text := texts[z.Uint64()]
		before := c.Stats().Hits
		c.Classify(text)
		if i >= lookups/10 { // the cache is warm
			counted++
			found += int(c.Stats().Hits - before)
		}
		if i == lookups/2 {
			half = heapBytes()
		}
	}
	full = heapBytes()
	runtime.KeepAlive(c)
	return float64(found) / float64(counted), half, full
}

// heapBytes returns the size of the live heap objects after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func TestConcurrentUse(t *testing.T) {
	c := New(Options{CacheBytes: MinCacheBytes, Lists: corpusLists()})
	all := corpus(t)
	done := make(chan string, 8)
	for g := range 8 {
		go func() {
			r := rand.New(rand.NewPCG(uint64(g), 1))
			for range 3000 {
				l := all[r.IntN(len(all))]
				s, details, syntaxErr := c.Classify([]byte(l.SQL))
				if syntaxErr == nil && l.Label != "read" && s.Class == Read {
					done <- l.SQL
					return
				}
				if syntaxErr == nil {
					c.Observe(s, &details, time.Millisecond)
					c.Estimate(s, &details)
				}
			}
			done <- ""
		}()
	}
	for range 8 {
		assert.Empty(t, <-done)
	}
}

func TestEstimatesFollowMeasurementsAndDecay(t *testing.T) {
	c := New(Options{CacheBytes: 1 << 20})
	classify := func(text string) (*NormalizedStatement, TextDetails) {
		s, details, syntaxErr := c.Classify([]byte(text))
		require.Nil(t, syntaxErr)
		return s, details
	}
	s, details := classify("SELECT * FROM a WHERE id = 1")
	scan, all := classify("SELECT * FROM a WHERE name LIKE 'x%' ORDER BY at")
	assert.Less(t, c.Estimate(s, &details), c.Estimate(scan, &all), "before anything was measured")
	for range 40 {
		c.Observe(s, &details, 80*time.Millisecond)
		c.Observe(scan, &all, 5*time.Millisecond)
	}
	assert.InDelta(t, 80, c.Estimate(s, &details).Seconds()*1e3, 15)
	assert.InDelta(t, 5, c.Estimate(scan, &all).Seconds()*1e3, 2)
	for range 200 {
		c.Observe(s, &details, 2*time.Millisecond)
	}
	assert.InDelta(t, 2, c.Estimate(s, &details).Seconds()*1e3, 1, "a change is followed")
	short, few := classify("SELECT * FROM a WHERE id IN (1, 2)")
	_, many := classify("SELECT * FROM a WHERE id IN (" + strings.Repeat("1, ", 900) + "2)")
	assert.Greater(t, c.Estimate(short, &many), c.Estimate(short, &few), "a longer list costs more with one normal form")
	_, ten := classify("SELECT * FROM a LIMIT 10")
	whole, thousand := classify("SELECT * FROM a LIMIT 1000")
	assert.Less(t, c.Estimate(whole, &ten), c.Estimate(whole, &thousand))
	assert.Positive(t, c.Estimate(s, &details), "an estimate is a number")
}

func TestRulesMatchByClassVerbTablesAndCost(t *testing.T) {
	c := New(Options{CacheBytes: 1 << 20, Rules: []Rule{
		{RequestType: "book", Class: Write, Verbs: []string{"insert"}, Tables: []string{"bookings"}},
		{RequestType: "other-write", Class: Write},
		{RequestType: "report", Class: Read, MinEstimate: 20 * time.Millisecond},
		{RequestType: "browse", Class: Read, Tables: []string{"slots", "houses"}, MaxEstimate: 20 * time.Millisecond},
	}})
	for _, q := range []struct {
		text string
		took time.Duration
		want int
	}{
		{"INSERT INTO bookings VALUES (1)", 0, 0}, {"UPDATE bookings SET a = 1", 0, 1}, {"SELECT unlisted(1)", 0, 1},
		{"SELECT * FROM public.slots", time.Millisecond, 3}, {"SELECT * FROM slots", time.Second, 2},
		{"SELECT * FROM elsewhere", time.Millisecond, -1},
	} {
		s, _, syntaxErr := c.Classify([]byte(q.text))
		require.Nil(t, syntaxErr)
		assert.Equal(t, q.want, c.MatchRule(s, q.took), q.text)
	}
}

func FuzzClassify(f *testing.F) {
	for _, l := range corpus(f) {
		f.Add(l.SQL)
	}
	c := New(Options{CacheBytes: 1 << 20, Lists: corpusLists()})
	f.Fuzz(func(t *testing.T, text string) {
		s, _, syntaxErr := c.Classify([]byte(text))
		if syntaxErr != nil {
			return
		}
		// The normal form, with each literal replaced by 1, is itself a statement; it must have the same class.
		other := strings.ReplaceAll(string(s.Text()), "?+", "1")
		if strings.ContainsAny(text, `"\?$`) { // replacing ? may change more than the literals of such texts
			return
		}
		again, _, syntaxErr := c.Classify([]byte(strings.ReplaceAll(other, "?", "1")))
		if syntaxErr != nil {
			t.Fatalf("%q, whose normal form is %q: %v", text, s.Text(), syntaxErr)
		}
		if (again.Class == Read) != (s.Class == Read) {
			t.Fatalf("%q is %s, its normal form %q is %s", text, s.Class, s.Text(), again.Class)
		}
	})
}
