package sqlclass

// One pass over the tokens of a statement.

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
	lists *NameLists
	text  []byte
	v     Classification
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
func (c *classer) classify(text []byte, lists *NameLists) Classification {
	name := c.name[:0]
	*c = classer{lists: lists, text: text, name: name}
	c.scan.Reset(text)
	c.v.Class = Read
	c.top().start = true
	for {
		t := c.scan.Next()
		if t.Kind == EndOfText {
			c.finish(t)
			break
		}
		if t.Kind == Invalid {
			c.unknown(t.Start, c.scan.Err.Message)
			break
		}
		if c.ended && !c.isMark(t, ';') {
			c.v.MultipleStatements = true
			c.unknown(t.Start, "several statements")
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

func (c *classer) top() *frame { return &c.stack[c.depth] }

func (c *classer) isMark(t Token, mark byte) bool {
	return t.Kind == Punctuation && c.text[t.Start] == mark
}

// unknown and write keep the first reason; a write stands above what is not known.
func (c *classer) unknown(at int, why string) {
	if c.v.Class == Read {
		c.v.Class, c.v.Reason, c.v.ReasonOffset = Unknown, why, at
	}
}

func (c *classer) write(at int, why string) {
	if c.explain && !c.analyze { // it is planned, not run
		return
	}
	if c.v.Class != Write {
		c.v.Class, c.v.Reason, c.v.ReasonOffset = Write, why, at
	}
}

func (c *classer) bound(at int, why string) {
	c.v.SessionBound = true
	if c.v.Class != Write {
		c.v.Class, c.v.Reason, c.v.ReasonOffset = Write, why, at
	}
}

func (c *classer) take(t Token) bool {
	if t.Kind == Word || t.Kind == QuotedName {
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
	case StringLiteral, NumberLiteral, Parameter:
		if t.Ambiguous {
			c.unknown(t.Start, `a \ before the end of a text, which reads otherwise where standard_conforming_strings is off`)
		}
		f.query.literal(c.prevTok, c.text)
		c.operand, c.prev = true, ""
	case Operator:
		if !builtinSigns[string(c.text[t.Start:t.End])] {
			c.unknown(t.Start, "the operator "+c.show(t)+" is none of PostgreSQL's own")
		}
		c.operand, c.prev = false, ""
	case Punctuation:
		return c.mark(t, first)
	}
	return true
}

func (c *classer) mark(t Token, first bool) bool {
	f := c.top()
	switch c.text[t.Start] {
	case '.':
		if !c.path.on {
			c.path = path{on: true, expr: true, parts: 1, first: c.prevTok, last: c.prevTok}
		}
		c.path.dot = true
	case '(':
		return c.open(t, first)
	case ')':
		if c.depth == 0 {
			c.unknown(t.Start, "a ) without its (")
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
			c.unknown(t.Start, "a ; between ( and )")
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
		c.unknown(p.first.Start, "an operator named by OPERATOR()")
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
		c.unknown(t.Start, "parentheses too deep within each other")
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
		c.unknown(t.Start, "a name that ends in a dot")
		return true, false
	}
	c.function(p, "calls ")
	return true, false
}

// function looks a name up that is called.
func (c *classer) function(p *path, how string) {
	name, ok := c.plainName(p.last)
	if !ok {
		c.unknown(p.last.Start, how+c.show(p.last)+", whose name is written with U&")
		return
	}
	low := c.lowered(name)
	f := &c.top().query
	if aggregates[string(low)] {
		f.aggregate = true
	}
	switch {
	case c.lists.writes[string(low)]:
		c.write(p.first.Start, how+c.show(p.last)+", which the operator's file lists as writing")
		return
	case builtinBound[string(low)]:
		c.bound(p.first.Start, how+c.show(p.last)+", which leaves something on the connection")
		return
	case builtinWrites[string(low)]:
		c.write(p.first.Start, how+c.show(p.last)+", which writes")
		return
	}
	if !c.reading(p) {
		c.unknown(p.first.Start, how+c.show(p.last)+", which is on no list of reading functions and types")
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
	if t.UnicodeEscaped {
		return nil, false
	}
	c.appendName(t)
	return c.name, true
}

func (c *classer) appendName(t Token) {
	b := c.text[t.Start:t.End]
	if t.Kind != QuotedName {
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
	return string(c.text[t.Start:min(t.End, t.Start+longName)])
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
	if p.dot && next.Kind == Operator { // t.*
		return
	}
	literal := next.Kind == StringLiteral || next.Kind == NumberLiteral || next.Kind == Parameter
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
