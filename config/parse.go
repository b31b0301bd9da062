package config

import (
	"errors"
	"fmt"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Node is one item of a list: an atom, a quoted text or a nested list. Exactly one of the fields Atom, Text and List is set.
type Node struct {
	Pos  lexer.Position
	Atom string  `parser:"( @Word"`
	Text *string `parser:"| @Text"`
	List *List   `parser:"| @@ )"`
}

// List holds the items between a pair of parentheses.
type List struct {
	Nodes []*Node `parser:"'(' @@* ')'"`
}

// syntaxTree is the root of a parsed file.
type syntaxTree struct {
	Forms []*Node `parser:"@@*"`
}

// grammar is the parser of files. It skips comments and white space, and removes the quotes and escapes of texts.
var grammar = participle.MustBuild[syntaxTree](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Comment", Pattern: `;[^\n]*`},
		{Name: "Space", Pattern: `[ \t\r\n]+`},
		{Name: "Text", Pattern: `"(\\.|[^"\\\n])*"`},
		{Name: "Mark", Pattern: `[()]`},
		{Name: "Word", Pattern: `[^\s()";]+`},
	})),
	participle.Elide("Comment", "Space"), participle.Unquote("Text"))

// Limits of a file, which bound the memory and stack needed to read it.
const (
	maxFileBytes = 1 << 20
	maxDepth     = 64 // levels of nested lists
)

// File is a parsed file without syntax errors.
type File struct {
	Name  string
	forms []*Node
}

// Parse parses the text of a file; name is the file name in the positions of errors. The error is an ErrorList.
func Parse(name string, text []byte) (*File, error) {
	if len(text) > maxFileBytes {
		return nil, ErrorList{{Position{name, 1, 1}, fmt.Sprintf("the file has %d bytes", len(text)), "at most 1 MiB is read"}}
	}
	if position, ok := findTooDeepList(name, text); ok {
		return nil, ErrorList{{position, "lists too deep within each other", fmt.Sprintf("at most %d are read", maxDepth)}}
	}
	parsed, err := grammar.ParseBytes(name, text)
	if err != nil {
		var parserError participle.Error
		syntaxError := Error{Position: Position{name, 1, 1}, Message: err.Error()}
		if errors.As(err, &parserError) {
			position := parserError.Position()
			syntaxError.Position = Position{name, position.Line, position.Column}
			syntaxError.Message, syntaxError.Remedy = explainSyntaxError(parserError.Message(), text, position)
		}
		return nil, ErrorList{syntaxError}
	}
	return &File{Name: name, forms: parsed.Forms}, nil
}

// explainSyntaxError returns the message and remedy that an operator sees for a syntax error of the parser. message is the
// parser's own text, which is used if the character at the error explains nothing.
func explainSyntaxError(message string, text []byte, position lexer.Position) (explanation, remedy string) {
	next := ""
	if position.Offset >= 0 && position.Offset < len(text) {
		next = string(text[position.Offset:min(position.Offset+1, len(text))])
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

// findTooDeepList returns the position of the first list nested more than maxDepth levels deep, and whether there is one. It
// runs before the parser, which recurses for each level.
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
