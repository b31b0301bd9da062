package config

import (
	"errors"
	"fmt"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Node is an atom, a quoted text or a list.
type Node struct {
	Pos  lexer.Position
	Atom string  `parser:"( @Word"`
	Text *string `parser:"| @Text"`
	List *List   `parser:"| @@ )"`
}

// List is the content of a pair of parentheses.
type List struct {
	Nodes []*Node `parser:"'(' @@* ')'"`
}

type tree struct {
	Forms []*Node `parser:"@@*"`
}

var grammar = participle.MustBuild[tree](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Comment", Pattern: `;[^\n]*`},
		{Name: "Space", Pattern: `[ \t\r\n]+`},
		{Name: "Text", Pattern: `"(\\.|[^"\\\n])*"`},
		{Name: "Mark", Pattern: `[()]`},
		{Name: "Word", Pattern: `[^\s()";]+`},
	})),
	participle.Elide("Comment", "Space"), participle.Unquote("Text"))

// Limits of a file, which bound the memory and stack that reading it takes.
const (
	maxFileBytes = 1 << 20 // bytes
	maxDepth     = 64      // lists within each other
)

// File is a parsed file, without syntax errors.
type File struct {
	Name  string
	forms []*Node
}

// Parse parses a file's text; name is for the positions of errors. The error is an ErrorList.
func Parse(name string, text []byte) (*File, error) {
	if len(text) > maxFileBytes {
		return nil, ErrorList{{Position{name, 1, 1}, fmt.Sprintf("the file has %d bytes", len(text)), "at most 1 MiB is read"}}
	}
	if p, ok := findTooDeepList(name, text); ok {
		return nil, ErrorList{{p, "lists too deep within each other", fmt.Sprintf("at most %d are read", maxDepth)}}
	}
	t, err := grammar.ParseBytes(name, text)
	if err != nil {
		var at participle.Error
		f := Error{Position: Position{name, 1, 1}, Message: err.Error()}
		if errors.As(err, &at) {
			p := at.Position()
			f.Position = Position{name, p.Line, p.Column}
			f.Message, f.Remedy = explainSyntaxError(at.Message(), text, p)
		}
		return nil, ErrorList{f}
	}
	return &File{Name: name, forms: t.Forms}, nil
}

// explainSyntaxError turns a parser's message into one for an operator.
func explainSyntaxError(message string, text []byte, at lexer.Position) (what, remedy string) {
	next := ""
	if at.Offset >= 0 && at.Offset < len(text) {
		next = string(text[at.Offset:min(at.Offset+1, len(text))])
	}
	switch next {
	case `"`:
		return "a text that begins here has no end", `end it with " on the same line`
	case ")":
		return "a ) without its (", "take it away, or open the list that it ends"
	case "":
		return "the file ends within a list", "a ) is missing"
	}
	return message, "see the form in docs/operate/classing.md"
}

// findTooDeepList returns where lists nest deeper than the grammar may follow them, which recurses.
func findTooDeepList(name string, text []byte) (Position, bool) {
	p, depth := Position{name, 1, 0}, 0
	quoted, comment, escaped := false, false, false
	for _, c := range string(text) {
		p.Column++
		switch {
		case c == '\n':
			p.Line, p.Column, quoted, comment = p.Line+1, 0, false, false
		case comment:
		case quoted:
			quoted = c != '"' || escaped
			escaped = c == '\\' && !escaped
		case c == '"':
			quoted, escaped = true, false
		case c == ';':
			comment = true
		case c == '(':
			if depth++; depth > maxDepth {
				return p, true
			}
		case c == ')':
			depth--
		}
	}
	return p, false
}
