// Package shape parses statements just far enough to say what they do, what they may cost and which txn type
// they are, and keeps what it found by the statement's form.
//
// What holds, and is asserted by the tests:
//   - A text is a Read only if every part of it was understood as reading: its verb, every function it calls in
//     whatever spelling, every operator and every type it casts to. All else is a Write or Unknown, and Unknown
//     is to be treated as a Write.
//   - The class is a property of the form: two texts of one form have one class, and forms are told apart by
//     their bytes, never by a checksum alone.
//   - Scanning, classing and looking up use bounded memory whatever the text: no recursion, frames of fixed
//     number, names and tables counted.
//
// Nothing here chooses a member, or whether a txn runs again.
package shape

import (
	"bytes"
	"math"
)

// Class is what a statement does to data.
type Class uint8

const (
	Unknown Class = iota // to be treated as a Write of unknown effect
	Read
	Write
)

var classNames = [...]string{"unknown", "read", "write"}

func (c Class) String() string { return classNames[c] }

// Verdict is what was found about a form.
type Verdict struct {
	Class   Class
	Bound   bool     // it leaves something on the connection, or needs what another left there
	Several bool     // more than one statement
	Empty   bool     // none
	Why     string   // "" for a Read
	At      int      // offset of the first byte that Why is about, in the text that was classed
	Verb    string   // the first keyword, or that behind a WITH list; "" where there is none
	Tables  []string // named behind FROM, JOIN, INTO, UPDATE; lower case, without schema, in order, each once
	work    work
}

// Sizes that bound what a text can make the classer keep.
const (
	deepest    = 100 // parentheses within each other
	mostTables = 16
	longName   = 64 // bytes of a name shown in a reason; PostgreSQL cuts names at 63
)

// Lists are the operator's words on functions, operators and types, beside PostgreSQL's own.
type Lists struct {
	reads, writes, columns map[string]bool
}

// NewLists makes Lists. A reading name counts as it stands, with its schema where it has one; a writing name
// counts in every schema and case. Columns, where not nil, are all names that t.name may mean without a call.
func NewLists(reads, writes, columns []string) *Lists {
	l := &Lists{reads: map[string]bool{}, writes: map[string]bool{}}
	for _, n := range reads {
		l.reads[n] = true
	}
	for _, n := range writes {
		l.writes[string(lastPart([]byte(lower(n))))] = true
	}
	if columns != nil {
		l.columns = map[string]bool{}
		for _, n := range columns {
			l.columns[n] = true
		}
	}
	return l
}

func lastPart(name []byte) []byte { return name[bytes.LastIndexByte(name, '.')+1:] }

// frame is what stands between two parentheses.
type frame struct {
	start bool // the next word may begin a statement
	with  bool // within the list of a WITH
	opts  bool // options of EXPLAIN
	holds bool // what it holds is an operand, so an alias may follow
	alias bool // an alias's column list
	cast  bool // CAST(x AS type)
	from  bool // within the list of a FROM
	query block
}

// path is a name as it is read, part by part.
type path struct {
	on, dot        bool // begun; ended in a dot so far
	parts          int
	first, last    Token
	kw             *keyword // of a path of one word
	behind         string   // keyword before it
	cast, operand  bool     // it stands behind ::, or behind an operand
	expr           bool     // its first part is an expression
	comma, inAlias bool
}

type classer struct {
	scan  Scanner
	lists *Lists
	text  []byte
	v     Verdict
	stack [deepest + 1]frame
	depth int
	path  path
	name  []byte // scratch

	operand          bool // the last token ended an operand
	prev, prev2      string
	prevTok          Token
	ended, any       bool
	explain, analyze bool
	locks            uint8 // how far FOR NO KEY UPDATE and its like have come
	total            work
}

// keyword is a word of PostgreSQL's.
type keyword struct {
	name string
	sort wordSort
}

// classify runs over a text that a Scanner accepts whole.
func (c *classer) classify(text []byte, lists *Lists) Verdict {
	name := c.name[:0]
	*c = classer{lists: lists, text: text, name: name}
	c.scan.Reset(text)
	c.v.Class = Read
	c.top().start = true
	for {
		t := c.scan.Next()
		if t.Kind == End {
			c.finish(t)
			break
		}
		if t.Kind == Broken {
			c.unknown(t.From, c.scan.Err.What)
			break
		}
		if c.ended && !c.isMark(t, ';') {
			c.v.Several = true
			c.unknown(t.From, "several statements")
			break
		}
		c.any = c.any || !c.isMark(t, ';')
		if !c.take(t) {
			break
		}
		c.prevTok = t
	}
	if c.depth > 0 && c.v.Class == Read {
		c.unknown(len(text), "a ( without its )")
	}
	for ; c.depth >= 0; c.depth-- {
		c.stack[c.depth].query.close(&c.total)
	}
	switch {
	case !c.any && c.v.Class == Read:
		c.v.Empty = true
	case c.v.Verb == "":
		c.unknown(0, "it begins with no verb that is known")
	}
	c.v.work = c.total
	return c.v
}

func (c *classer) top() *frame                    { return &c.stack[c.depth] }
func (c *classer) isMark(t Token, mark byte) bool { return t.Kind == Mark && c.text[t.From] == mark }

// unknown and write keep the first reason; a write stands above what is not known.
func (c *classer) unknown(at int, why string) {
	if c.v.Class == Read {
		c.v.Class, c.v.Why, c.v.At = Unknown, why, at
	}
}

func (c *classer) write(at int, why string) {
	if c.explain && !c.analyze { // it is planned, not run
		return
	}
	if c.v.Class != Write {
		c.v.Class, c.v.Why, c.v.At = Write, why, at
	}
}

func (c *classer) bound(at int, why string) {
	c.v.Bound = true
	if c.v.Class != Write {
		c.v.Class, c.v.Why, c.v.At = Write, why, at
	}
}

func (c *classer) take(t Token) bool {
	if t.Kind == Word || t.Kind == Quoted {
		c.word(t)
		return true
	}
	if c.path.on && !c.isMark(t, '.') && !c.isMark(t, '(') {
		c.finish(t)
	}
	f := c.top()
	first := f.start
	if !c.isMark(t, '(') && !c.isMark(t, ';') {
		f.start = false
	}
	switch t.Kind {
	case Text, Number, Param:
		if t.Doubtful {
			c.unknown(t.From, `a \ before the end of a text, which reads otherwise where standard_conforming_strings is off`)
		}
		f.query.literal(c.prevTok, c.text)
		c.operand, c.prev = true, ""
	case Sign:
		if !builtinSigns[string(c.text[t.From:t.To])] {
			c.unknown(t.From, "the operator "+c.show(t)+" is none of PostgreSQL's own")
		}
		c.operand, c.prev = false, ""
	case Mark:
		return c.mark(t, first)
	}
	return true
}

func (c *classer) mark(t Token, first bool) bool {
	f := c.top()
	switch c.text[t.From] {
	case '.':
		if !c.path.on {
			c.path = path{on: true, expr: true, parts: 1, first: c.prevTok, last: c.prevTok}
		}
		c.path.dot = true
	case '(':
		return c.open(t, first)
	case ')':
		if c.depth == 0 {
			c.unknown(t.From, "a ) without its (")
			return true
		}
		f.query.close(&c.total)
		holds, opts := f.holds, f.opts
		c.depth--
		c.operand, c.prev = holds, ""
		if opts {
			c.top().start = true
		}
	case ',':
		f.query.comma(f.from)
		c.operand, c.prev = false, ","
	case ';':
		c.operand, c.prev = false, ""
		if c.depth > 0 {
			c.unknown(t.From, "a ; between ( and )")
		} else if c.v.Verb != "" || c.v.Class != Read {
			c.ended = true
		}
	case '[':
		c.operand, c.prev = false, ""
	case ']':
		c.operand, c.prev = true, ""
	default:
		c.operand, c.prev = false, ""
	}
	return true
}

// open enters a parenthesis: what stands before it says what it holds.
func (c *classer) open(t Token, first bool) bool {
	next := frame{start: true, holds: true}
	p, f := &c.path, c.top()
	f.start = false
	switch {
	case first && c.explain && !f.opts && c.prev == "explain":
		next.opts, next.holds = true, false
	case p.on && p.kw != nil && p.parts == 1 && p.kw.name == "operator":
		c.unknown(p.first.From, "an operator named by OPERATOR()")
	case p.on && p.kw != nil && p.parts == 1 && p.kw.sort&kReserved != 0 && p.behind != "as":
		next.holds = p.kw.sort&kHolds != 0 && !(p.kw.name == "on" && c.prev2 == "distinct")
		next.cast = p.kw.name == "cast" || p.kw.name == "treat"
		f.query.opened(p.kw.name)
	case p.on:
		next.holds, next.alias = c.called(t)
		next.cast = p.kw != nil && p.kw.name == "xmlserialize"
	}
	if f.with && !next.alias && !(p.on && p.kw != nil && (p.kw.name == "as" || p.kw.name == "materialized")) {
		f.with = false // WITH ... (SELECT ...): what follows belongs to the main statement
	}
	p.on = false
	if c.depth == deepest {
		c.unknown(t.From, "parentheses too deep within each other")
		return false
	}
	c.depth++
	c.stack[c.depth] = next
	c.operand, c.prev = false, "("
	return true
}

// called looks at a name with a ( behind it, and says whether an operand comes of it, and whether it was an alias.
func (c *classer) called(t Token) (operand, alias bool) {
	p, f := &c.path, c.top()
	plain := p.parts == 1 && !p.expr
	switch {
	case p.cast || p.behind == "as" && f.cast:
		c.typed()
		return true, false
	case p.behind == "into":
		c.table(p)
		return true, true
	case plain && p.behind == "as", plain && f.with && p.kw != nil && p.kw.name == "materialized",
		plain && f.with && (p.behind == "with" || p.behind == "recursive" || p.behind == ","):
		return true, true
	case plain && p.operand:
		return true, p.kw == nil
	}
	if p.dot {
		c.unknown(t.From, "a name that ends in a dot")
		return true, false
	}
	c.function(p, "calls ")
	return true, false
}

// function looks a name up that is called.
func (c *classer) function(p *path, how string) {
	name, ok := c.plainName(p.last)
	if !ok {
		c.unknown(p.last.From, how+c.show(p.last)+", whose name is written with U&")
		return
	}
	low := c.lowered(name)
	f := &c.top().query
	if aggregates[string(low)] {
		f.aggregate = true
	}
	switch {
	case c.lists.writes[string(low)]:
		c.write(p.first.From, how+c.show(p.last)+", which the operator's file lists as writing")
		return
	case builtinBound[string(low)]:
		c.bound(p.first.From, how+c.show(p.last)+", which leaves something on the connection")
		return
	case builtinWrites[string(low)]:
		c.write(p.first.From, how+c.show(p.last)+", which writes")
		return
	}
	if !c.reading(p) {
		c.unknown(p.first.From, how+c.show(p.last)+", which is on no list of reading functions and types")
	}
}

// reading tells whether a name is that of a reading function or type, its schema included.
func (c *classer) reading(p *path) bool {
	if p.expr || p.parts > 2 {
		return false
	}
	if p.parts == 2 {
		schema, ok := c.plainName(p.first)
		if !ok {
			return false
		}
		at := len(schema)
		c.name = append(c.name, '.')
		from := len(c.name)
		c.appendName(p.last)
		full := c.name[:len(c.name)]
		return c.lists.reads[string(full)] ||
			string(full[:at]) == "pg_catalog" && builtinReads[string(full[from:])]
	}
	name, ok := c.plainName(p.last)
	return ok && (builtinReads[string(name)] || c.lists.reads[string(name)])
}

// plainName gives a name as the server knows it, in the scratch: folded, or without its quotes.
func (c *classer) plainName(t Token) ([]byte, bool) {
	c.name = c.name[:0]
	if t.Unicode {
		return nil, false
	}
	c.appendName(t)
	return c.name, true
}

func (c *classer) appendName(t Token) {
	b := c.text[t.From:t.To]
	if t.Kind != Quoted {
		c.name = appendLower(c.name, b)
		return
	}
	b = b[1 : len(b)-1]
	for i := 0; i < len(b); i++ {
		c.name = append(c.name, b[i])
		if b[i] == '"' {
			i++
		}
	}
}

func (c *classer) lowered(name []byte) []byte {
	for i, b := range name {
		if b >= 'A' && b <= 'Z' {
			c.name = appendLower(append(c.name[:0], name[:i]...), name[i:])
			return c.name
		}
	}
	return name
}

func (c *classer) show(t Token) string {
	return string(c.text[t.From:min(t.To, t.From+longName)])
}

// typed checks the type that a path names in a cast: a cast to a type of the operator's own may call anything.
func (c *classer) typed() {
	if !c.reading(&c.path) {
		c.function(&c.path, "casts to ")
	}
}

// finish ends a path behind which no ( came.
func (c *classer) finish(next Token) {
	p, f := &c.path, c.top()
	if !p.on {
		return
	}
	p.on = false
	if p.dot && next.Kind == Sign { // t.*
		return
	}
	literal := next.Kind == Text || next.Kind == Number || next.Kind == Param
	switch {
	case p.cast || p.behind == "as" && f.cast || p.inAlias && p.operand && p.kw == nil,
		literal && !p.operand && (p.kw == nil || p.parts > 1):
		c.typed()
		return
	case p.parts > 1:
		c.field(p)
	}
	if p.expr || p.kw != nil && p.parts == 1 && p.kw.sort&kReserved != 0 {
		return
	}
	switch p.behind {
	case "from", "join", "into", "update", "table", "only":
		c.table(p)
	default:
		if p.comma && f.from {
			c.table(p)
		}
	}
}

// field looks at t.f and (t).f, which call f where the row has no such column.
func (c *classer) field(p *path) {
	name, ok := c.plainName(p.last)
	switch {
	case !ok:
		c.unknown(p.last.From, "a field whose name is written with U&: "+c.show(p.last))
	case c.lists.writes[string(c.lowered(name))]:
		c.write(p.last.From, "calls "+c.show(p.last)+" in field notation, which the operator's file lists as writing")
	case p.expr && !c.lists.reads[string(name)] && !c.lists.columns[string(name)],
		c.lists.columns != nil && !c.lists.columns[string(name)] && !c.lists.reads[string(name)] && p.behind != "from" &&
			p.behind != "join" && p.behind != "only" && !(p.comma && c.top().from):
		c.unknown(p.last.From, "may call "+c.show(p.last)+" in field notation: list it under columns or reads")
	}
}

// table notes a table or view. One that the operator lists as writing is a view or foreign table with an effect.
func (c *classer) table(p *path) {
	name, ok := c.plainName(p.last)
	if !ok || !c.top().query.on && c.v.Class == Read || len(c.v.Tables) == mostTables || len(name) > longName {
		return
	}
	c.top().query.tables++
	if c.lists.writes[string(c.lowered(name))] {
		c.write(p.first.From, "uses "+c.show(p.last)+", which the operator's file lists as writing")
	}
	for _, t := range c.v.Tables {
		if t == string(name) {
			return
		}
	}
	c.v.Tables = append(c.v.Tables, string(name))
}

// word takes a name or a keyword.
func (c *classer) word(t Token) {
	p := &c.path
	if p.on && p.dot {
		p.parts++
		p.last, p.dot, p.kw = t, false, nil
		c.operand, c.prev = true, ""
		if p.parts > 8 {
			c.unknown(t.From, "a name of too many parts")
			p.parts = 8
		}
		return
	}
	if p.on {
		c.finish(t)
	}
	f := c.top()
	*p = path{on: true, parts: 1, first: t, last: t, behind: c.prev, operand: c.operand, comma: c.prev == ",",
		inAlias: f.alias, cast: c.prevTok.Kind == Sign && c.prevTok.To == c.prevTok.From+2 && c.text[c.prevTok.From] == ':' &&
			c.text[c.prevTok.From+1] == ':'}
	if t.Kind == Word && t.To-t.From <= longName {
		c.name = appendLower(c.name[:0], c.text[t.From:t.To])
		p.kw = words[string(c.name)]
	}
	if p.kw == nil {
		if f.opts && t.Kind == Quoted { // "analyze" is an option too
			c.analyze = true
		}
		if f.start && !f.opts && c.depth == 0 {
			c.unknown(t.From, "it begins with no verb that is known")
		}
		f.start = false
		c.operand, c.prev2, c.prev = true, c.prev, ""
		return
	}
	label := p.behind == "as" && !f.cast // a label may be any word, a reserved one too
	if !label || p.kw.name == "materialized" || p.kw.name == "not" || f.with {
		c.keyword(t, p.kw, f)
	}
	if label && p.kw.sort&kReserved != 0 && !f.with { // nothing but a label: it opens nothing
		p.kw = nil
		c.operand, c.prev2, c.prev = true, c.prev, ""
		return
	}
	c.operand, c.prev2, c.prev = false, c.prev, p.kw.name
	if c.prev2 == "distinct" && c.prev == "from" {
		c.prev = "" // IS DISTINCT FROM: no table follows
	}
}

// keyword follows the statement by its keywords.
func (c *classer) keyword(t Token, kw *keyword, f *frame) {
	if f.start || f.with || f.opts {
		if c.begins(t, kw, f) {
			return
		}
	}
	switch c.locks {
	case 1:
		switch kw.name {
		case "update", "share":
			c.write(t.From, "locks rows")
		case "no", "key":
			c.locks = 2
			return
		}
	case 2:
		if kw.name == "key" || kw.name == "share" || kw.name == "update" {
			c.write(t.From, "locks rows")
		}
	}
	c.locks = 0
	switch kw.name {
	case "uescape":
		if c.prevTok.Kind == Quoted {
			c.unknown(t.From, "a name written with U& and UESCAPE")
		}
	case "for":
		c.locks = 1
	case "into":
		c.write(t.From, "SELECT INTO makes a table")
	case "temp", "temporary":
		if c.prev == "create" || c.prev == "into" || c.prev == "local" || c.prev == "global" {
			c.v.Bound = true
		}
	case "select", "values":
		f.query.close(&c.total)
		f.query.begin()
		f.from = false
	}
	switch kw.name {
	case "from":
		f.from = f.query.on && c.prev != "distinct"
		f.query.from = f.query.from || f.from
	case "where", "group", "order", "having", "limit", "union", "intersect", "except", "window", "returning":
		f.from = false
	}
	f.query.keyword(kw.name)
}

// begins takes a keyword where a statement may begin; false where it means nothing there.
func (c *classer) begins(t Token, kw *keyword, f *frame) bool {
	top := c.depth == 0
	if f.opts {
		if kw.name == "analyze" || kw.name == "analyse" {
			c.analyze = true
		}
		if kw.sort&kQuery == 0 || !f.start { // an option, not the query itself
			return true
		}
		f.opts = false // EXPLAIN (SELECT ...)
		f.holds = true
	}
	if f.with {
		if kw.sort&(kQuery|kDML) == 0 || kw.name == "with" || c.prev == "with" || c.prev == "recursive" {
			return true
		}
		f.with = false
	}
	f.start = false
	switch {
	case kw.name == "explain" && top && !c.explain:
		c.explain, f.start = true, true
		return true
	case c.explain && top && (kw.name == "analyze" || kw.name == "analyse" || kw.name == "verbose") && c.v.Verb == "":
		c.analyze = c.analyze || kw.name != "verbose"
		f.start = true
		return true
	case kw.name == "with":
		f.with = true
		return true
	}
	if c.v.Verb == "" || top {
		c.v.Verb = kw.name
	}
	switch {
	case kw.sort&kDML != 0:
		c.write(t.From, "changes data by "+kw.name)
		f.query.close(&c.total)
		f.query.begin()
		f.query.changes, f.query.inserts = true, kw.name == "insert"
	case kw.sort&kQuery != 0:
		f.query.close(&c.total)
		f.query.begin()
		f.from = false
		f.query.from = kw.name == "table"
		if !top {
			c.stack[c.depth-1].query.list = false // IN (SELECT ...)
		}
	case !top:
		if c.v.Verb == kw.name { // an expression in parentheses, not a verb
			c.v.Verb = ""
		}
		return false
	case c.explain:
		c.unknown(t.From, "an EXPLAIN of "+kw.name)
	case kw.sort&kBound != 0:
		c.bound(t.From, kw.name+" works on the connection, which is shared")
	case kw.sort&kChange != 0:
		c.write(t.From, kw.name+" may change anything")
	case kw.name == "show":
	default:
		c.unknown(t.From, "it begins with no verb that is known")
	}
	return true
}

// --- What a form may cost.

// work is a first guess in rows touched; a list's items and a LIMIT come from the text.
type work struct {
	rows    float64 // without what follows
	perItem float64 // for each literal in a list
	limited bool    // a LIMIT's number bounds rows
}

// block is what is seen of one SELECT, or one change.
type block struct {
	on, changes, inserts, from, where, keyed, list, order, group, distinct, limit, aggregate bool
	clause                                                                                   uint8
	tables, joins                                                                            int
}

const (
	inNothing uint8 = iota
	inWhere
)

// The guess takes every table for one of so many rows, a condition by equality for an index that finds a few,
// any other condition for a scan. It only has to rank; what was measured corrects it.
const (
	tableRows = 1000.0
	foundRows = 3.0
)

func (b *block) begin() { *b = block{on: true} }

func (b *block) keyword(name string) {
	switch name {
	case "where", "on":
		b.clause = inWhere
		b.where = b.where || name == "where"
	case "join":
		b.joins++
		b.clause = inNothing
	case "order":
		b.order = true
		b.clause = inNothing
	case "group":
		b.group = true
		b.clause = inNothing
	case "distinct":
		b.distinct = true
	case "limit", "fetch":
		b.limit = true
		b.clause = inNothing
	case "having", "select", "values", "union", "set", "returning":
		b.clause = inNothing
	}
}

func (b *block) comma(from bool) {
	if from && b.clause == inNothing {
		b.joins++
	}
}

func (b *block) opened(word string) {
	if word == "in" && b.clause == inWhere {
		b.list = true
	}
}

func (b *block) literal(before Token, text []byte) {
	if b.where && b.clause == inWhere && before.Kind == Sign && before.To == before.From+1 && text[before.From] == '=' {
		b.keyed = true
	}
}

func (b *block) close(w *work) {
	if !b.on {
		return
	}
	b.on = false
	tables := 0.0
	if b.from || b.changes && !b.inserts {
		tables = float64(max(b.tables, b.joins+1))
	}
	touched, found := tables*tableRows, tables*tableRows
	switch {
	case b.keyed:
		touched = foundRows * (1 + 2*float64(b.joins))
		found = touched
	case b.list:
		touched = foundRows * (1 + 2*float64(b.joins))
		found = touched
		w.perItem += 1 + float64(b.joins)
	case b.where:
		found = touched / 10
	}
	cost := 1 + touched
	if b.order || b.distinct {
		cost += found * math.Log2(2+found) / 5
	}
	if b.group || b.aggregate {
		cost += found / 2
	}
	if b.changes {
		cost += 5 + found
		w.perItem += 0.5
	}
	if b.limit && !b.order && !b.group && !b.aggregate && !b.distinct && !b.keyed && !b.list {
		w.limited = true
	}
	w.rows += cost
}
