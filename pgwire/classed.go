package pgwire

import (
	"fmt"

	"dapplerouter/shape"
)

// ParseClassed takes the body of a Query message apart where statements are classed: any verb passes, what is not
// known to read is a write, and the comment may leave the request type out. Its s names the session, else the first
// quoted text does. A statement that works on the connection itself is refused: connections to members are shared.
func ParseClassed(body []byte, by *shape.Classing) (s Statement, err error) {
	if s.text, err = queryText(body); err != nil {
		return s, err
	}
	found, facts, fault := by.Take(s.text)
	if fault != nil {
		return s, &Malformed{fault.Code, fault.Error()}
	}
	s.Shape, s.Facts, s.Key = found, facts, facts.Key
	switch {
	case found.Empty:
		s.Empty = true
		return s, nil
	case found.Several:
		v := by.Explain(s.text)
		return s, malformed(SyntaxError, "more than one statement: the second begins at byte %d", v.At)
	case found.Bound:
		return s, &Malformed{NotSupported, bound(by.Explain(s.text))}
	case facts.Block[0] < 0:
		return s, malformed(SyntaxError, "the statement has no comment")
	}
	s.Write = found.Class != shape.Read
	return s, s.comment(facts.Block[0], facts.Block[1], len(by.Rules()) == 0)
}

func bound(v shape.Verdict) string {
	why := v.Why
	if why == "" {
		why = "it makes a temporary table, which would stay on the connection"
	}
	return fmt.Sprintf("not served here, since connections are shared: %s (at byte %d)", why, v.At)
}
