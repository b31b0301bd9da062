package pgwire

import (
	"fmt"

	"dapplerouter/sqlclass"
)

// ParseClassified parses the body of a Query message and classifies its statement with by. It accepts any verb. A
// statement that is not known to be a read counts as a write. If by has rules, the comment may omit the request type. The
// key of the statement is the field s of the comment or, without it, the first string literal. A statement that changes
// the state of its connection is rejected, because connections to servers are shared. The errors are those of
// ParseStatement.
func ParseClassified(body []byte, by *sqlclass.Classifier) (s Statement, err error) {
	if s.text, err = queryText(body); err != nil {
		return s, err
	}
	normalized, details, invalid := by.Classify(s.text)
	if invalid != nil {
		return s, &StatementError{invalid.Code, invalid.Error()}
	}
	s.Normalized, s.Details, s.Key = normalized, details, details.FirstString
	switch {
	case normalized.Empty:
		s.Empty = true
		return s, nil
	case normalized.MultipleStatements:
		return s, statementErrorf(CodeSyntaxError, "more than one statement: the second begins at byte %d", by.Explain(s.text).ReasonOffset)
	case normalized.SessionBound:
		return s, &StatementError{CodeFeatureNotSupported, sessionBoundMessage(by.Explain(s.text))}
	case details.LastComment[0] < 0:
		return s, errNoComment()
	}
	s.Write = normalized.Class != sqlclass.Read
	return s, s.parseComment(details.LastComment[0], details.LastComment[1], len(by.Rules()) == 0)
}

// sessionBoundMessage returns the error text for a statement that changes the state of its connection.
func sessionBoundMessage(c sqlclass.Classification) string {
	reason := c.Reason
	if reason == "" {
		reason = "it makes a temporary table, which would stay on the connection"
	}
	return fmt.Sprintf("not served here, since connections are shared: %s (at byte %d)", reason, c.ReasonOffset)
}
