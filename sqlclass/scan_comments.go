package sqlclass

// skipComment returns the end of the comment that begins at i, or i if no comment begins there. It is not ok for a block comment
// without an end, which is a syntax error.
func (s *Scanner) skipComment(i int) (end int, ok bool) {
	if i+1 == len(s.text) {
		return i, true
	}
	switch s.pos = i; {
	case s.text[i] == '/' && s.text[i+1] == '*':
		if !s.skipBlockComment() {
			s.invalidToken("the comment has no end", i)
			return i, false
		}
	case s.text[i] == '-' && s.text[i+1] == '-':
		s.skipLineComment()
	}
	return s.pos, true
}

// skipLineComment skips a comment up to the end of its line, which is not skipped.
func (s *Scanner) skipLineComment() {
	for s.pos < len(s.text) && s.text[s.pos] != '\n' && s.text[s.pos] != '\r' {
		s.pos++
	}
}

// skipBlockComment skips a comment and the comments nested in it. It returns false if the comment has no end.
func (s *Scanner) skipBlockComment() bool {
	from := s.pos + 2
	s.pos = from
	for i, depth := from, 1; i+1 < len(s.text); i++ {
		if s.text[i] != '*' && s.text[i] != '/' {
			continue
		}
		switch {
		case s.text[i] == '/' && s.text[i+1] == '*':
			depth++
			i++
		case s.text[i] == '*' && s.text[i+1] == '/':
			i++
			if depth--; depth == 0 {
				s.pos = i + 1
				s.LastComment = [2]int{from, i - 1}
				return true
			}
		}
	}
	return false
}
