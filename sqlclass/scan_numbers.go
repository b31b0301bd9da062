package sqlclass

// scanNumber reads a decimal number, with or without a fraction and an exponent, or a hexadecimal, octal or binary integer.
func (s *Scanner) scanNumber() Token {
	from, i := s.pos, s.pos
	for i < len(s.text) && charClass[s.text[i]]&classDigit != 0 {
		i++
	}
	if i > from && (i == len(s.text) || charClass[s.text[i]]&classNamePart == 0 && s.text[i] != '.') { // a decimal integer
		s.pos = i
		return Token{Kind: NumberLiteral, Start: from, End: i}
	}
	if isDigit := radixDigitTest(s.text[from:]); isDigit != nil {
		s.pos = s.digitsEnd(from+2, isDigit)
		return Token{Kind: NumberLiteral, Start: from, End: s.pos}
	}
	i = s.digitsEnd(from, isDecimal)
	if i < len(s.text) && s.text[i] == '.' && (i+1 == len(s.text) || s.text[i+1] != '.') {
		i = s.digitsEnd(i+1, isDecimal)
	}
	s.pos = s.exponentEnd(i)
	return Token{Kind: NumberLiteral, Start: from, End: s.pos}
}

// digitsEnd returns the end of the digits that begin at i. Single underscores may separate them.
func (s *Scanner) digitsEnd(i int, isDigit func(byte) bool) int {
	from := i
	for i < len(s.text) && (isDigit(s.text[i]) || s.text[i] == '_' && i > from && i+1 < len(s.text) && isDigit(s.text[i+1])) {
		i++
	}
	return i
}

// exponentEnd returns the end of the exponent at i, or i if there is none.
func (s *Scanner) exponentEnd(i int) int {
	if i == len(s.text) || s.text[i]|0x20 != 'e' {
		return i
	}
	from := i + 1
	if from < len(s.text) && (s.text[from] == '+' || s.text[from] == '-') {
		from++
	}
	if end := s.digitsEnd(from, isDecimal); end > from {
		return end
	}
	return i
}

// radixDigitTest returns the function that recognizes the digits of a number with the prefix 0x, 0o or 0b. It returns nil for
// any other number.
func radixDigitTest(text []byte) func(byte) bool {
	if text[0] != '0' || len(text) < 3 {
		return nil
	}
	var isDigit func(byte) bool
	switch text[1] | 0x20 {
	case 'x':
		isDigit = func(c byte) bool { return isDecimal(c) || c|0x20 >= 'a' && c|0x20 <= 'f' }
	case 'o':
		isDigit = func(c byte) bool { return c >= '0' && c <= '7' }
	case 'b':
		isDigit = func(c byte) bool { return c == '0' || c == '1' }
	}
	if isDigit == nil || !isDigit(text[2]) {
		return nil
	}
	return isDigit
}

// isDecimal reports whether a byte is a decimal digit.
func isDecimal(c byte) bool { return c >= '0' && c <= '9' }
