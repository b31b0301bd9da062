package sqlclass

import (
	"bytes"
	"slices"
)

// Details are what a text has that its form leaves out.
type Details struct {
	ListItems   int    // literals in lists that were folded
	Limit       int    // the number behind the last LIMIT or FETCH FIRST, -1 for none
	FirstString []byte // the inside of the first quoted text, nil for none; as it stands, doubled quotes too
	LastComment [2]int // the inside of the last block comment, {-1, -1} for none
}

const longestList = 1 << 20 // items counted; more add nothing

func appendLower(b, name []byte) []byte {
	for _, c := range name {
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		b = append(b, c)
	}
	return b
}

func lower(s string) string { return string(appendLower(nil, []byte(s))) }

// Normalize appends the normal form of a text: names and keywords folded, comments and spaces gone, literals as ?, a
// list of nothing but literals as (?+), several such rows of VALUES as one. A fault is a text that no server
// would take; nothing of it may be sent.
//
// What the form leaves out, the class does not look at: see classer. A literal whose end depends on a setting
// of the server stays visible, as ?!, since its class does.
func (s *Scanner) Normalize(b, text []byte) ([]byte, Details, *SyntaxError) {
	f := Details{Limit: -1}
	s.Reset(text)
	var (
		list    bool // since the last ( only literals, commas and signs
		literal bool // the last token was a literal
		items   int
		at      int // of the last ( in b
		run     int // of the ( of the first of several folded rows, -1 for none
		limit   bool
		last    = byte(0) // the last mark, 'v' behind VALUES, 'r' behind a folded row, else 0
	)
	run = -1
	for i := 0; ; {
		// The commonest tokens are taken here, all others by Next: most of the time would go into handing them over.
		if i >= len(text) {
			f.LastComment = s.LastComment
			return b, f, nil
		}
		c := text[i]
		first := lead[c]
		if first == leadSpace {
			i++
			continue
		}
		if first == leadWord && (i+1 == len(text) || text[i+1] != '\'' && text[i+1] != '&') {
			rest := text[i:]
			if cap(b)-len(b) <= len(rest) {
				b = slices.Grow(b, len(rest)+1)
			}
			from, n := len(b), len(rest)
			to := b[from : from+len(rest)]
			for k := 0; k < len(to) && k < len(rest); k++ {
				low := folded[rest[k]]
				if low == 0 {
					n = k
					break
				}
				to[k] = low
			}
			b = append(b[:from+n], ' ')
			if i += n; i < len(text) && text[i] == ' ' {
				i++
			}
			list, last, limit, literal = false, 0, false, false
			if n >= 4 && n <= 6 {
				switch string(b[from : from+n]) {
				case "limit", "first", "next":
					limit = true
				case "values":
					last, run = 'v', -1
				}
			}
			continue
		}
		if first == leadMark {
			i++
			switch c {
			case '[':
				list, at, items, run = true, len(b), 0, -1
				b = append(b, "[ "...)
				last = '('
			case ']':
				if list && literal {
					f.ListItems = min(f.ListItems+items, longestList)
					b = append(b[:at], "[?+] "...)
				} else {
					b = append(b, "] "...)
				}
				list, last = false, 0
			case '(':
				if last == 'v' || last == ',' && run >= 0 {
					if last == 'v' {
						run = len(b)
					}
				} else {
					run = -1
				}
				list, at, items = true, len(b), 0
				b = append(b, "( "...)
				last = '('
			case ')':
				if list && literal {
					f.ListItems = min(f.ListItems+items, longestList)
					if run >= 0 && run < at {
						at = run
					}
					b = append(b[:at], "(?+) "...)
					last = 'r'
				} else {
					b = append(b, ") "...)
					last, run = 0, -1
				}
				list = false
			case ',':
				list = list && literal
				if last == 'r' {
					last = ','
				} else {
					last = 0
				}
				b = append(b, ", "...)
			default: // ;
				b = append(b, "; "...)
				list, last = false, 0
			}
			limit, literal = false, false
			continue
		}
		if first == leadDigit || first == leadQuote {
			if end := simple(text, i); end > 0 {
				if list = list && !literal; list {
					items++
				}
				b = append(b, "? "...)
				switch {
				case first == leadDigit && limit:
					f.Limit = whole(text[i:end])
				case first == leadQuote && f.FirstString == nil:
					f.FirstString = text[i+1 : end-1]
				}
				literal, limit, last = true, false, 0
				i = end
				continue
			}
		}
		switch first {
		case leadDot:
			if i+1 < len(text) && charClass[text[i+1]]&cStart != 0 {
				b = append(b, ". "...)
				i++
				list, last, limit, literal = false, 0, false, false
				continue
			}
		case leadSign:
			if i+1 < len(text) && c == '/' && text[i+1] == '*' {
				if s.at = i; !s.block() {
					s.broken("the comment has no end", i)
					return b, f, &s.Err
				}
				i = s.at
				continue
			}
			if i+1 < len(text) && charClass[text[i+1]]&cSign == 0 { // of one character, as most are
				if c == '?' {
					b = append(b, '\\')
				}
				b = append(b, c, ' ')
				i++
				list = list && !literal && (c == '-' || c == '+')
				last, limit, literal = 0, false, false
				continue
			}
			if i+1 < len(text) && c == '-' && text[i+1] == '-' {
				s.at = i
				s.line()
				i = s.at
				continue
			}
		}
		s.at = i
		t := s.Next()
		i = t.End
		switch t.Kind {
		case EndOfText:
			f.LastComment = s.LastComment
			return b, f, nil
		case Invalid:
			return b, f, &s.Err
		case StringLiteral, NumberLiteral, Parameter:
			switch {
			case t.Ambiguous:
				list = false
				b = append(b, "?! "...)
			case list && !literal:
				items++
				b = append(b, "? "...)
			default:
				list = false
				b = append(b, "? "...)
			}
			if t.Kind == StringLiteral && f.FirstString == nil {
				f.FirstString = inside(text[t.Start:t.End])
			}
			if limit && t.Kind == NumberLiteral {
				f.Limit = whole(text[t.Start:t.End])
			}
			literal, limit, last = true, false, 0
			continue
		case Word:
			b = append(appendLower(b, text[t.Start:t.End]), ' ') // with a quote or & behind it
			list, limit, last = false, false, 0
		case QuotedName:
			b = append(append(b, text[t.Start:t.End]...), ' ')
			list, limit, last = false, false, 0
		case Operator:
			if text[t.Start] == '?' { // an operator, to be told from a literal
				b = append(b, '\\')
			}
			b = append(append(b, text[t.Start:t.End]...), ' ')
			list = list && !literal && t.End == t.Start+1 && (text[t.Start] == '-' || text[t.Start] == '+')
			last, limit = 0, false
		case Punctuation: // . and : alone
			b = append(b, c, ' ')
			list, last = false, 0
			limit = false
		}
		literal = false
	}
}

// simple finds the end of a literal of the two plainest kinds: digits, or a text with neither \ nor a quote within
// and with a space, a comma, a parenthesis or the end behind it. 0: it is none.
func simple(text []byte, i int) int {
	if i >= len(text) {
		return 0
	}
	j := i + 1
	switch c := text[i]; {
	case charClass[c]&cDigit != 0:
		for j < len(text) && charClass[text[j]]&cDigit != 0 {
			j++
		}
	case c == '\'':
		for j < len(text) && text[j] != '\'' && text[j] != '\\' {
			j++
		}
		if j >= len(text) || text[j] == '\\' {
			return 0
		}
		j++
	default:
		return 0
	}
	if j < len(text) {
		switch text[j] {
		case ',', ')':
		case ' ': // a line's end further on may go on with it
			if j+1 >= len(text) || charClass[text[j+1]]&cStart == 0 {
				return 0
			}
		default:
			return 0
		}
	}
	return j
}

// inside is what stands between a literal's quotes.
func inside(lit []byte) []byte {
	if lit[0] == '$' {
		n := bytes.IndexByte(lit[1:], '$') + 2
		return lit[n : len(lit)-n]
	}
	from := bytes.IndexByte(lit, '\'') + 1
	return lit[from : len(lit)-1]
}

func whole(digits []byte) int {
	n := 0
	for _, c := range digits {
		if c < '0' || c > '9' || n > 1<<30 {
			break
		}
		n = n*10 + int(c-'0')
	}
	return n
}
