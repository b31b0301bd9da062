package pgwire

import "fmt"

// emptyQuery is a Query message without a statement.
var emptyQuery = []byte{'Q', 0, 0, 0, 5, 0}

// EmptyQueryResponse is a server's response to an empty query: EmptyQueryResponse and ReadyForQuery. No other query has this response, so
// it shows which messages of a connection belong to the queries before the empty one and which to those after it.
type EmptyQueryResponse struct{ received bool }

// CheckEmptyQueryMessage checks a message by its type and its length. It is meant to be used as Reader.CheckMessage while the response to
// an empty query is read. The error is a *ProtocolError.
func CheckEmptyQueryMessage(typ byte, size int, _ []byte) error {
	switch typ {
	case 'I', 'Z', 'S', 'N', 'A':
		if size > maxControlBytes {
			return messageTooLong(typ, size)
		}
		return nil
	}
	return &ProtocolError{fmt.Sprintf("a message of type %q in place of the response to an empty query", typ)}
}

// AddMessage adds a message that CheckEmptyQueryMessage has passed. done means that the response is complete. The error is a
// *ProtocolError. Notices, notifications and ParameterStatus messages may come at any time and are dropped.
func (r *EmptyQueryResponse) AddMessage(typ byte) (done bool, err error) {
	switch typ {
	case 'I':
		if r.received {
			return false, outOfOrder(typ)
		}
		r.received = true
	case 'Z':
		if !r.received {
			return false, outOfOrder(typ)
		}
		return true, nil
	}
	return false, nil
}
