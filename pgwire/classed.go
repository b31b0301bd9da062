package pgwire

import (
	"fmt"

	"dapplerouter/sqlclass"
)

// ParseClassified takes the body of a Query message apart where statements are classed: any verb passes, what is not
// known to read is a write, and the comment may leave the request type out. Its s names the session, else the first
// quoted text does. A statement that works on the connection itself is refused: connections to members are shared.
func ParseClassified(body []byte, by *sqlclass.Classifier) (s Statement, err error) {
	if s.text, err = queryText(body); err != nil {
		return s, err
	}
	found, facts, fault := by.Classify(s.text)
	if fault != nil {
		return s, &StatementError{fault.Code, fault.Error()}
	}
	s.Normalized, s.Details, s.Key = found, facts, facts.FirstString
	switch {
	case found.Empty:
		s.Empty = true
		return s, nil
	case found.MultipleStatements:
		v := by.Explain(s.text)
		return s, malformed(CodeSyntaxError, "more than one statement: the second begins at byte %d", v.ReasonOffset)
	case found.SessionBound:
		return s, &StatementError{CodeFeatureNotSupported, bound(by.Explain(s.text))}
	case facts.LastComment[0] < 0:
		return s, malformed(CodeSyntaxError, "the statement has no comment")
	}
	s.Write = found.Class != sqlclass.Read
	return s, s.comment(facts.LastComment[0], facts.LastComment[1], len(by.Rules()) == 0)
}

func bound(v sqlclass.Classification) string {
	why := v.Reason
	if why == "" {
		why = "it makes a temporary table, which would stay on the connection"
	}
	return fmt.Sprintf("not served here, since connections are shared: %s (at byte %d)", why, v.ReasonOffset)
}
