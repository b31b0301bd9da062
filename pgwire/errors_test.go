package pgwire

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestErrorsCanBeDistinguished(t *testing.T) {
	r := NewReader(bytes.NewReader(frame('Q', "SELECT 1\x00")), 64, 1<<10)
	r.Reserve = func(int) bool { return false }
	_, _, err := r.Next()
	assert.ErrorIs(t, err, ErrBufferLimit)
	assert.False(t, IsProtocolError(err))

	q := &QueryResult{AnyStatement: true, MaxBytes: 10}
	_, err = q.AddMessage('T', []byte(rowDescription))
	var tooLarge *ResultTooLargeError
	if assert.ErrorAs(t, err, &tooLarge) {
		assert.Equal(t, 10, tooLarge.Limit)
	}
	assert.True(t, IsProtocolError(fmt.Errorf("read: %w", UnexpectedMessage('?'))))

	_, err = statement("DELETE FROM facts")
	var invalid *StatementError
	if assert.ErrorAs(t, err, &invalid) {
		assert.Equal(t, CodeFeatureNotSupported, invalid.Code)
	}
}
