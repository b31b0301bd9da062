package wire

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"time"
)

// fail keeps the first error of a line.
func (r *Reader) fail(field, problem string, cause error) {
	if r.err == nil {
		r.err = &Error{Line: r.line, Event: string(r.name), Field: field, Problem: problem, Cause: cause}
	}
}

// get is a field's value, nil where the line hasn't it.
func (r *Reader) get(field string) []byte {
	for i := range r.fields {
		if string(r.fields[i][0]) == field {
			return r.fields[i][1]
		}
	}
	return nil
}

// required is the value of a field that must not be empty.
func (r *Reader) required(field string) []byte {
	v := r.get(field)
	if len(v) == 0 {
		r.fail(field, ErrMissingField.Error(), ErrMissingField)
	}
	return v
}

// parseInteger parses decimal digits with an optional sign, without an allocation.
func (r *Reader) parseInteger(field string, v []byte) int64 {
	neg := len(v) > 1 && v[0] == '-'
	digits := v
	if neg {
		digits = v[1:]
	}
	var n int64
	for _, c := range digits {
		if c < '0' || c > '9' || n > (math.MaxInt64-9)/10 {
			r.fail(field, fmt.Sprintf("is no integer: %q", v), ErrInvalidField)
			return 0
		}
		n = n*10 + int64(c-'0')
	}
	if neg {
		n = -n
	}
	return n
}

// integer is the value of a required integer.
func (r *Reader) integer(field string) int64 {
	v := r.required(field)
	if len(v) == 0 {
		return 0
	}
	return r.parseInteger(field, v)
}

// optional is the value of an integer, 0 where the line hasn't it.
func (r *Reader) optional(field string) int64 {
	v := r.get(field)
	if len(v) == 0 {
		return 0
	}
	return r.parseInteger(field, v)
}

// duration is the value of a required integer in nanoseconds.
func (r *Reader) duration(field string) time.Duration { return time.Duration(r.integer(field)) }

func (r *Reader) number(field string, v []byte) float64 {
	f, err := strconv.ParseFloat(string(v), 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		r.fail(field, fmt.Sprintf("is no number: %q", v), ErrInvalidField)
		return 0
	}
	return f
}

func (r *Reader) flag(field string) bool {
	v := r.get(field)
	switch {
	case len(v) == 0 || (len(v) == 1 && v[0] == '0'):
		return false
	case len(v) == 1 && v[0] == '1':
		return true
	}
	r.fail(field, fmt.Sprintf("is neither 0 nor 1: %q", v), ErrInvalidField)
	return false
}

// instance is the number of the instance that the line is for.
func (r *Reader) instance() int {
	v := r.required("Front")
	n, ok := bytes.CutPrefix(v, []byte("front-"))
	if !ok || len(n) == 0 {
		r.fail("Front", fmt.Sprintf("is no instance: %q", v), ErrInvalidField)
		return 0
	}
	return int(r.parseInteger("Front", n))
}

func choice[T any](r *Reader, field string, v []byte, words map[string]T) T {
	t, ok := words[string(v)]
	if !ok {
		r.fail(field, fmt.Sprintf("has an unknown word: %q", v), ErrInvalidField)
	}
	return t
}

// unhex decodes hexadecimal digits; "-" stands for no bytes.
func unhex(r *Reader, field string, v []byte) []byte {
	if string(v) == "-" {
		return nil
	}
	out := make([]byte, len(v)/2)
	for i := range out {
		n, err := strconv.ParseUint(string(v[2*i:2*i+2]), 16, 8)
		if err != nil {
			r.fail(field, "is no hex", ErrInvalidField)
			return nil
		}
		out[i] = byte(n)
	}
	if len(v)%2 != 0 {
		r.fail(field, "is no hex", ErrInvalidField)
	}
	return out
}
