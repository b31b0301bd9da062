package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dapplerouter/deployment"
	"dapplerouter/testsupport/fakeserver"
)

// Sends every statement of the classifier's corpus through a front: replicas must only get those that the corpus labels as reads.
func TestNoCorpusWriteReachesReplica(t *testing.T) {
	g := startGroup(t, 3)
	c := dial(t, startFront(t, g, operatorFile))
	f, err := os.Open("../../sqlclass/testdata/corpus.jsonl")
	require.NoError(t, err)
	defer f.Close()
	label, reads := map[string]string{}, 0
	for in, n := bufio.NewScanner(f), 0; in.Scan(); n++ {
		var l struct{ Label, SQL string }
		require.NoError(t, json.Unmarshal(in.Bytes(), &l))
		id := fmt.Sprintf("x%d", n)
		label[id] = l.Label
		_, err := c.Query(l.SQL + "\n" + comment(id, ",s=diner")) // on a new line, since some statements end in a -- comment
		require.NoError(t, err, l.SQL)
	}
	atPrimary, atReplicas := 0, 0
	for _, m := range g.Servers {
		for _, s := range m.Statements() {
			if s.Primary {
				atPrimary++
				continue
			}
			atReplicas++
			assert.Equal(t, "read", label[s.ID], "at a replica: %s", s.SQL)
			reads++
		}
	}
	t.Logf("%d statements: %d at the primary, %d reads and no write at replicas", len(label), atPrimary, atReplicas)
	assert.Greater(t, reads, 200, "too few reads reached replicas for the test to be conclusive")
}

// The statement's comment names a request type of reads, but the statement writes: it must go to the primary, and never be retried.
func TestWriteUnderReadTypeRunsOnceAtPrimary(t *testing.T) {
	g := startGroup(t, 3)
	c := dial(t, startFront(t, g, operatorFile))
	g.Servers[0].SetFault(func(n int, sql string) fakeserver.Fault {
		return fakeserver.Fault{BreakAfter: strings.Contains(sql, "id=lost")}
	})
	for i := range 20 {
		a, err := c.Query("SELECT next_seat(1)" + comment(fmt.Sprintf("w%d", i), ",c=browse"))
		require.NoError(t, err)
		assert.Empty(t, a.Code)
	}
	a, err := c.Query("UPDATE bookings SET guests = 3 WHERE id = 7" + comment("lost", ",c=browse"))
	require.NoError(t, err)
	assert.Equal(t, "40000", a.Code, "its outcome is unknown: the client gets a rollback error, and the statement is not retried")
	seen := 0
	for i, m := range g.Servers {
		for _, s := range m.Statements() {
			assert.Zero(t, i, "at %s: %s", m.Name, s.SQL)
			if s.ID == "lost" {
				seen++
			}
		}
	}
	assert.Equal(t, 1, seen)
	assert.Equal(t, 1, g.ExecutionCount("lost"))
}

// With classification, ordinary statements are served and all rows of their results returned. Statements that can't be parsed, or that
// depend on the connection, are rejected and reach no server.
func TestSimpleStatementsAreServedWithAllRows(t *testing.T) {
	g := startGroup(t, 2)
	c := dial(t, startFront(t, g, operatorFile))
	a, err := c.Query("SELECT * FROM bookings WHERE house = 3 ORDER BY id LIMIT 5" + comment("a", ""))
	require.NoError(t, err)
	require.Len(t, a.Rows, 5, "%+v", a)
	assert.Equal(t, []string{"3", "3", "3", "diner-3", "4", "2026-12-04"}, a.Rows[0])
	a, err = c.Query("DELETE FROM bookings WHERE id = 3" + comment("b", ",s=asha"))
	require.NoError(t, err)
	assert.Equal(t, "UPDATE 1", a.Tag, "%+v", a)
	a, err = c.Query("SELECT * FROM bookings WHERE house = 3 ORDER BY id LIMIT 5" + comment("c", ",c=mine,s=asha"))
	require.NoError(t, err)
	assert.Len(t, a.Rows, 5)
	for _, rejected := range []struct{ sql, code, message string }{
		{"SELECT 1; SELECT 2", "42601", "more than one statement: the second begins at byte 10"},
		{"SELECT 'abc", "42601", "a quoted text has no end at byte 7"},
		{"SELECT 1 /* abc", "42601", "the comment has no end at byte 9"},
		{"BEGIN", "0A000", "not served here, since connections are shared: begin works on the connection, which is shared (at byte 0)"},
		{"SELECT set_config('a', 'b', false)", "0A000", "leaves something on the connection"},
		{"CREATE TEMP TABLE x AS SELECT 1", "0A000", "not served here"},
		{"SELECT 'é\xff'", "22021", "a byte that is no UTF-8 at byte 10"},
		{"SELECT data FROM facts", "22023", "a read of this request type belongs to a session"},
	} {
		more := ""
		if rejected.code == "22023" {
			more = ",c=mine"
		}
		a, err := c.Query(rejected.sql + comment("bad", more))
		require.NoError(t, err)
		assert.Equal(t, rejected.code, a.Code, rejected.sql)
		assert.Contains(t, a.Message, rejected.message)
	}
	for _, m := range g.Servers {
		for _, s := range m.Statements() {
			assert.NotEqual(t, "bad", s.ID, s.SQL)
		}
	}
}

func TestStatementErrorIsForwardedWithoutRetry(t *testing.T) {
	g := startGroup(t, 1)
	c := dial(t, startFront(t, g, operatorFile))
	g.Servers[0].SetFault(func(_ int, sql string) fakeserver.Fault {
		switch {
		case strings.Contains(sql, "id=twice"):
			return fakeserver.Fault{Code: "23505"}
		case strings.Contains(sql, "id=open"): // leaves a transaction open
			raw := []byte("C\x00\x00\x00\x0bINSERT\x00Z\x00\x00\x00\x05T")
			return fakeserver.Fault{RawResponse: raw}
		case strings.Contains(sql, "id=copy"):
			return fakeserver.Fault{RawResponse: []byte("H\x00\x00\x00\x07\x00\x00\x00Z\x00\x00\x00\x05I")}
		}
		return fakeserver.Fault{}
	})
	a, err := c.Query("INSERT INTO bookings (id) VALUES (1)" + comment("twice", ""))
	require.NoError(t, err)
	assert.Equal(t, "23505", a.Code)
	assert.Equal(t, "scripted", a.Message)
	a, err = c.Query("INSERT INTO bookings (id) VALUES (2)" + comment("open", ""))
	require.NoError(t, err)
	assert.Empty(t, a.Code)
	a, err = c.Query("UPDATE bookings SET guests = 1 WHERE id = 2" + comment("copy", ""))
	require.NoError(t, err)
	assert.NotEmpty(t, a.Code)
	a, err = c.Query("SELECT * FROM houses LIMIT 1" + comment("after", ""))
	require.NoError(t, err)
	assert.Len(t, a.Rows, 1)
	times := map[string]int{}
	for _, s := range g.Servers[0].Statements() {
		times[s.ID]++
	}
	assert.Equal(t, []int{1, 1, 1}, []int{times["twice"], times["open"], times["after"]}, "a statement was retried")
}

func TestResultOverMemoryLimitFailsOnlyItsRequest(t *testing.T) {
	g, err := fakeserver.Start(fakeserver.NewBookingData(20, 60, 40_000), 2, 4, 0, 0)
	require.NoError(t, err)
	t.Cleanup(g.Close)
	c := dial(t, startFront(t, g, operatorFile))
	a, err := c.Query("SELECT * FROM bookings" + comment("large", ""))
	require.NoError(t, err)
	assert.Equal(t, "54000", a.Code, "%+v", a)
	a, err = c.Query("SELECT * FROM bookings LIMIT 3" + comment("small", ""))
	require.NoError(t, err)
	assert.Len(t, a.Rows, 3)
	seen := 0
	for _, m := range g.Servers {
		seen += len(m.Statements())
	}
	assert.Equal(t, 2, seen, "the failed statement was retried, though any server would return the same result")
}

// Without the classing form, a front serves only the two kinds of statement that its users send.
func TestWithoutClassificationOtherStatementsAreRejected(t *testing.T) {
	g := startGroup(t, 2)
	c := dial(t, startFront(t, g, ""))
	a, err := c.Query("UPDATE bookings SET guests = 1 WHERE id = 'x'" + comment("u", ",c=book"))
	require.NoError(t, err)
	assert.Equal(t, "0A000", a.Code)
	a, err = c.Query("SELECT 'k'" + comment("s", ",c=browse"))
	require.NoError(t, err)
	assert.Empty(t, a.Code)
	a, err = c.Query("SELECT 'k'" + comment("n", ""))
	require.NoError(t, err)
	assert.Equal(t, "the comment lacks c", a.Message)
}

func TestFloodOfNewFingerprintsKeepsFrontServing(t *testing.T) {
	g := startGroup(t, 2)
	address := startFront(t, g, strings.Replace(operatorFile, "2MiB", "64KiB", 1))
	done := make(chan error, 4)
	for k := range 4 {
		c := dial(t, address)
		r := rand.New(rand.NewPCG(uint64(k), 1))
		go func() {
			for i := range 500 {
				sql := fmt.Sprintf("SELECT a%d, b FROM houses WHERE c%d = 1", r.Uint32(), i) + comment(fmt.Sprintf("f%d.%d", k, i), "")
				if a, err := c.Query(sql); err != nil || a.Code != "" && a.Code != "53300" {
					done <- fmt.Errorf("response %+v: %w", a, err)
					return
				}
			}
			done <- nil
		}()
	}
	for range 4 {
		require.NoError(t, <-done)
	}
}

func TestClassifyWritesOneLinePerInputLine(t *testing.T) {
	file := filepath.Join(t.TempDir(), "operator.sexp")
	require.NoError(t, os.WriteFile(file, []byte(operatorFile), 0o600))
	in := "{\"sql\": \"SELECT seat_name(1)\"}\n\nSELECT next_seat(1) FROM t\n{\"sql\": 5}\n{\"sql\": \"SELECT 'x\"}\nBEGIN\n{\"sql\":\"a\\u0000\"}"
	var out, errs bytes.Buffer
	exit := (&classifyCommand{File: file, JSON: true}).classify(strings.NewReader(in), &out, &errs)
	assert.Equal(t, exitNegative, exit)
	assert.Contains(t, errs.String(), "standard input:4:1: the line is not valid JSON")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 7)
	var classes []string
	for _, l := range lines {
		var r classification
		require.NoError(t, json.Unmarshal([]byte(l), &r))
		classes = append(classes, r.Class+" "+r.RequestType)
	}
	assert.Equal(t, []string{"read browse", "unknown ", "write book", "unknown ", "unknown ", "write book", "unknown "}, classes)
	out.Reset()
	require.Equal(t, exitOK, (&classifyCommand{}).classify(strings.NewReader("SELECT ';'; -- x;\n DELETE FROM t;;"), &out, &errs))
	assert.Equal(t, 3, strings.Count(out.String(), "\n"), out.String())
}

func TestCheckReportsEachErrorWithItsRemedy(t *testing.T) {
	dir := t.TempDir()
	check := func(text string) (int, string) {
		path := filepath.Join(dir, "f.sexp")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		o, err := readOperatorFile(path)
		if err != nil {
			return exitNegative, strings.ReplaceAll(err.Error(), path, "f")
		}
		instance := &deployment.Instance{MemoryBytes: 32 << 20, Settings: &deployment.Settings{}}
		if err := o.checkAgainst(instance); err != nil {
			return exitNegative, strings.ReplaceAll(err.Error(), path, "f")
		}
		return exitOK, ""
	}
	for text, want := range map[string]string{
		"(classing (cache 8))":                                             "f:1:18: 8 has no unit; 8MiB was likely meant",
		"(clasing)":                                                        "f:1:1: the file has no form clasing; classing was likely meant",
		"(classing (functions (reads nextval)))":                           "f:1:29: nextval is PostgreSQL's own and writes; take it off the list",
		"(classing (functions (reads a) (writes x.A)))":                    "f:1:29: a is listed as writing too, at f:1:40; a name that writes in any schema stands on no list of reading ones",
		"(classing (functions (reads a.b.c)))":                             "f:1:29: a.b.c is no name of a function; a name is name or schema.name; one with other characters or capitals stands between two \"",
		"(classing (types (a (verbs begin))))":                             "f:1:28: begin is never served; connections are shared",
		"(classing (types (a (verbs slect))))":                             "f:1:28: slect is no verb; a verb is select, insert, update, delete, merge, call or another first word of a statement",
		"(classing (types (a (above 3s) (below 200ms))))":                  "f:1:21: a fits no statement; above must be less than below",
		"(classing (types (a (class read))\n(b (class read) (tables t))))": "f:2:1: b can never fit: a at f:1:18 takes all that it would; put the narrower one first",
		"(classing (cache 16MiB))":                                         "f:1:1: a cache of 16777216 bytes exceeds a quarter of the instance's memory of 33554432 bytes; make the cache smaller",
		"(classing (types (a (class read))))":                              "f:1:18: a is no request type of this site; its types are []",
		"(classing (undeclared-writes once))":                              "f:1:30: undeclared-writes has no value once; known are once-only, referenced, repeatable",
		"(classing (cache 8)\n (types (a (below 200))))":                   "f:1:18: 8 has no unit; 8MiB was likely meant\nf:2:19: 200 has no unit; 200ms was likely meant",
	} {
		exit, got := check(text)
		assert.Equal(t, exitNegative, exit)
		assert.Equal(t, want, got, text)
	}
	exit, _ := check("(classing)")
	assert.Equal(t, exitOK, exit)
	assert.Equal(t, exitUnusable, (&checkCommand{File: filepath.Join(dir, "none")}).run())
}
