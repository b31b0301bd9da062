package sqlclass

// What the words of a statement do to its class.

// field looks at t.f and (t).f, which call f where the row has no such column.
func (c *classer) field(p *path) {
	name, ok := c.plainName(p.last)
	switch {
	case !ok:
		c.unknown(p.last.Start, "a field whose name is written with U&: "+c.show(p.last))
	case c.lists.writes[string(c.lowered(name))]:
		c.write(p.last.Start, "calls "+c.show(p.last)+" in field notation, which the operator's file lists as writing")
	case p.expr && !c.lists.reads[string(name)] && !c.lists.columns[string(name)],
		c.lists.columns != nil && !c.lists.columns[string(name)] && !c.lists.reads[string(name)] && p.behind != "from" &&
			p.behind != "join" && p.behind != "only" && !(p.comma && c.top().from):
		c.unknown(p.last.Start, "may call "+c.show(p.last)+" in field notation: list it under columns or reads")
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
		c.write(p.first.Start, "uses "+c.show(p.last)+", which the operator's file lists as writing")
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
			c.unknown(t.Start, "a name of too many parts")
			p.parts = 8
		}
		return
	}
	if p.on {
		c.finish(t)
	}
	f := c.top()
	*p = path{on: true, parts: 1, first: t, last: t, behind: c.prev, operand: c.operand, comma: c.prev == ",",
		inAlias: f.alias, cast: c.prevTok.Kind == Operator && c.prevTok.End == c.prevTok.Start+2 && c.text[c.prevTok.Start] == ':' &&
			c.text[c.prevTok.Start+1] == ':'}
	if t.Kind == Word && t.End-t.Start <= longName {
		c.name = appendLower(c.name[:0], c.text[t.Start:t.End])
		p.kw = words[string(c.name)]
	}
	if p.kw == nil {
		if f.opts && t.Kind == QuotedName { // "analyze" is an option too
			c.analyze = true
		}
		if f.start && !f.opts && c.depth == 0 {
			c.unknown(t.Start, "it begins with no verb that is known")
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
			c.write(t.Start, "locks rows")
		case "no", "key":
			c.locks = 2
			return
		}
	case 2:
		if kw.name == "key" || kw.name == "share" || kw.name == "update" {
			c.write(t.Start, "locks rows")
		}
	}
	c.locks = 0
	switch kw.name {
	case "uescape":
		if c.prevTok.Kind == QuotedName {
			c.unknown(t.Start, "a name written with U& and UESCAPE")
		}
	case "for":
		c.locks = 1
	case "into":
		c.write(t.Start, "SELECT INTO makes a table")
	case "temp", "temporary":
		if c.prev == "create" || c.prev == "into" || c.prev == "local" || c.prev == "global" {
			c.v.SessionBound = true
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
		c.write(t.Start, "changes data by "+kw.name)
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
		c.unknown(t.Start, "an EXPLAIN of "+kw.name)
	case kw.sort&kBound != 0:
		c.bound(t.Start, kw.name+" works on the connection, which is shared")
	case kw.sort&kChange != 0:
		c.write(t.Start, kw.name+" may change anything")
	case kw.name == "show":
	default:
		c.unknown(t.Start, "it begins with no verb that is known")
	}
	return true
}
