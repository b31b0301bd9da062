package fakeserver

import (
	"strings"
	"unicode"
)

// tokenize splits a statement into words, quoted literals and operators, without comments.
func tokenize(sql string) (words []string) {
	for i := 0; i < len(sql); {
		c := rune(sql[i])
		switch {
		case unicode.IsSpace(c):
			i++
		case strings.HasPrefix(sql[i:], "/*"):
			n := strings.Index(sql[i:], "*/")
			if n < 0 {
				return words
			}
			i += n + 2
		case c == '\'':
			j := i + 1
			for j < len(sql) && sql[j] != '\'' {
				j++
			}
			words = append(words, sql[i:min(j+1, len(sql))])
			i = j + 1
		case unicode.IsLetter(c) || c == '_' || unicode.IsDigit(c):
			j := i
			for j < len(sql) && (unicode.IsLetter(rune(sql[j])) || unicode.IsDigit(rune(sql[j])) || sql[j] == '_' || sql[j] == '.') {
				j++
			}
			words = append(words, sql[i:j])
			i = j
		case strings.HasPrefix(sql[i:], "<=") || strings.HasPrefix(sql[i:], ">=") || strings.HasPrefix(sql[i:], "<>"):
			words = append(words, sql[i:i+2])
			i += 2
		default:
			words = append(words, sql[i:i+1])
			i++
		}
	}
	return words
}

// parser reads the words of a statement one after the other.
type parser struct {
	words []string
	at    int // index of the next word
}

// peek returns the next word without consuming it, or "" at the end.
func (p *parser) peek() string {
	if p.at < len(p.words) {
		return p.words[p.at]
	}
	return ""
}

// next consumes and returns the next word, or "" at the end.
func (p *parser) next() string {
	w := p.peek()
	p.at++
	return w
}

// accept consumes the given words if they come next, regardless of case, and reports whether it did.
func (p *parser) accept(words ...string) bool {
	for i, w := range words {
		if p.at+i >= len(p.words) || !strings.EqualFold(p.words[p.at+i], w) {
			return false
		}
	}
	p.at += len(words)
	return true
}

// unquote returns a literal without its quotes.
func unquote(word string) string { return strings.Trim(word, "'") }
