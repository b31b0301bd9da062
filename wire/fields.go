package wire

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"time"
)

// fail records an error of a field. Only the first error of a line is kept.
func (r *Reader) fail(field, problem string, cause error) {
	if r.err == nil {
		r.err = &Error{Line: r.line, Event: string(r.name), Field: field, Problem: problem, Cause: cause}
	}
}

// value returns the value of a field, or nil if the line does not contain the field.
func (r *Reader) value(field string) []byte {
	for i := range r.fields {
		if string(r.fields[i][0]) == field {
			return r.fields[i][1]
		}
	}
	return nil
}

// required returns the value of a field that must be present and not empty.
func (r *Reader) required(field string) []byte {
	v := r.value(field)
	if len(v) == 0 {
		r.fail(field, ErrMissingField.Error(), ErrMissingField)
	}
	return v
}

// parseInteger parses decimal digits with an optional minus sign. It does not allocate.
func (r *Reader) parseInteger(field string, v []byte) int64 {
	neg := len(v) > 1 && v[0] == '-'
	digits := v
	if neg {
		digits = v[1:]
	}
	var n int64
	for _, c := range digits {
		if c < '0' || c > '9' || n > (math.MaxInt64-9)/10 {
			r.fail(field, fmt.Sprintf("is not an integer: %q", v), ErrInvalidField)
			return 0
		}
		n = n*10 + int64(c-'0')
	}
	if neg {
		n = -n
	}
	return n
}

// requiredInteger returns the value of a required integer field.
func (r *Reader) requiredInteger(field string) int64 {
	v := r.required(field)
	if len(v) == 0 {
		return 0
	}
	return r.parseInteger(field, v)
}

// optionalInteger returns the value of an integer field, or 0 if the field is missing or empty.
func (r *Reader) optionalInteger(field string) int64 {
	v := r.value(field)
	if len(v) == 0 {
		return 0
	}
	return r.parseInteger(field, v)
}

// requiredDuration returns the value of a required integer field in nanoseconds.
func (r *Reader) requiredDuration(field string) time.Duration {
	return time.Duration(r.requiredInteger(field))
}

// parseNumber parses a finite floating-point number.
func (r *Reader) parseNumber(field string, v []byte) float64 {
	f, err := strconv.ParseFloat(string(v), 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		r.fail(field, fmt.Sprintf("is not a finite number: %q", v), ErrInvalidField)
		return 0
	}
	return f
}

// flag returns the value of an optional field that is 0 or 1.
func (r *Reader) flag(field string) bool {
	v := r.value(field)
	switch {
	case len(v) == 0 || (len(v) == 1 && v[0] == '0'):
		return false
	case len(v) == 1 && v[0] == '1':
		return true
	}
	r.fail(field, fmt.Sprintf("is neither 0 nor 1: %q", v), ErrInvalidField)
	return false
}

// instance returns the number of the instance to which the line is addressed.
func (r *Reader) instance() int {
	v := r.required("Front")
	n, ok := bytes.CutPrefix(v, []byte("front-"))
	if !ok || len(n) == 0 {
		r.fail("Front", fmt.Sprintf("does not name an instance: %q", v), ErrInvalidField)
		return 0
	}
	return int(r.parseInteger("Front", n))
}

// parseKeyword returns the constant that a keyword of the protocol stands for.
func parseKeyword[T any](r *Reader, field string, v []byte, keywords map[string]T) T {
	t, ok := keywords[string(v)]
	if !ok {
		r.fail(field, fmt.Sprintf("has an unknown keyword: %q", v), ErrInvalidField)
	}
	return t
}

// parseHex decodes hexadecimal digits. "-" stands for no bytes.
func parseHex(r *Reader, field string, v []byte) []byte {
	if string(v) == "-" {
		return nil
	}
	out := make([]byte, len(v)/2)
	for i := range out {
		n, err := strconv.ParseUint(string(v[2*i:2*i+2]), 16, 8)
		if err != nil {
			r.fail(field, "is not hexadecimal", ErrInvalidField)
			return nil
		}
		out[i] = byte(n)
	}
	if len(v)%2 != 0 {
		r.fail(field, "is not hexadecimal", ErrInvalidField)
	}
	return out
}
