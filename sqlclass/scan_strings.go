package sqlclass

// scanString reads a string literal whose quote is at the current position; its token begins at from. PostgreSQL joins
// literals that are separated by a line end; these are one token. escapes says that the literal has backslash escapes.
func (s *Scanner) scanString(from int, escapes bool) Token {
	t := Token{Kind: StringLiteral, Start: from}
	i := s.pos + 1
	for {
		for {
			for i < len(s.text) && s.text[i] != '\'' && s.text[i] != '\\' {
				i++
			}
			if i >= len(s.text) {
				return s.invalidToken("a quoted text has no end", from)
			}
			c := s.text[i]
			if c == '\\' {
				if escapes {
					i++
				} else if i+1 < len(s.text) && s.text[i+1] == '\'' {
					t.Ambiguous = true // with standard_conforming_strings off, the literal does not end here
				}
			} else if c == '\'' {
				if i+1 >= len(s.text) || s.text[i+1] != '\'' {
					break
				}
				i++
			}
			i++
		}
		i++
		next := s.stringContinuation(i)
		if next == 0 {
			break
		}
		i = next
	}
	s.pos, t.End = i, i
	return t
}

// stringContinuation returns the offset after the next quote if the literal that ends at i continues after a line end.
// Otherwise it returns 0.
func (s *Scanner) stringContinuation(i int) int {
	lines := false
	for i < len(s.text) {
		switch c := s.text[i]; {
		case charClass[c]&classSpace != 0:
			lines = lines || c == '\n' || c == '\r'
			i++
		case c == '-' && i+1 < len(s.text) && s.text[i+1] == '-':
			for i < len(s.text) && s.text[i] != '\n' && s.text[i] != '\r' {
				i++
			}
		case c == '\'' && lines:
			return i + 1
		default:
			return 0
		}
	}
	return 0
}

// scanDollar reads a positional parameter or a dollar-quoted string.
func (s *Scanner) scanDollar() Token {
	from := s.pos
	i := from + 1
	if charClass[s.peek(1)]&classDigit != 0 {
		for i < len(s.text) && charClass[s.text[i]]&classDigit != 0 {
			i++
		}
		s.pos = i
		return Token{Kind: Parameter, Start: from, End: i}
	}
	for i < len(s.text) && s.text[i] != '$' && charClass[s.text[i]]&classNamePart != 0 {
		i++
	}
	if i >= len(s.text) || s.text[i] != '$' {
		return s.invalidToken("a $ that begins nothing", from)
	}
	tag := s.text[from : i+1]
	for j := i + 1; j+len(tag) <= len(s.text); j++ {
		if s.text[j] == '$' && string(s.text[j:j+len(tag)]) == string(tag) {
			s.pos = j + len(tag)
			return Token{Kind: StringLiteral, Start: from, End: s.pos}
		}
	}
	return s.invalidToken("a text between "+string(tag[:min(len(tag), 64)])+" has no end", from)
}
