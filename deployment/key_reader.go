package deployment

import (
	"fmt"
	"math"
	"net"
	"strconv"
	"time"
)

// Largest values of numbers. Larger ones, which mean that there is no limit, are read as these: calculations with them would overflow.
const (
	maxCount    = 1 << 30
	maxDuration = 10 * 365 * 24 * time.Hour
	maxDecimal  = 1e12
)

// belowZero is the problem of a number that must not be negative.
const belowZero = "is below 0: write a larger number"

// Source returns the text at a dotted path, or "" if there is none. A list of scalar values is joined by commas. A list of
// objects has its length at the path with the suffix .count, and its items at the path with the suffixes .0, .1 and so on.
type Source func(path string) string

// KeyError reports that the text at a key or of an environment variable is missing or invalid.
type KeyError struct {
	Key, Problem string // the text of the error is Key, a space and Problem
	Transient    bool   // the file cannot be opened or is incomplete, perhaps still being written: a retry may succeed
	Err          error  // the cause, or nil; Problem includes its text
}

// Error implements error.
func (e *KeyError) Error() string { return e.Key + " " + e.Problem }

// Unwrap returns the cause, or nil.
func (e *KeyError) Unwrap() error { return e.Err }

// keyReader converts the texts of a Source and keeps the first error. Once there is an error, the values that it returns are
// discarded.
type keyReader struct {
	get Source
	err error
}

// fail records an error of a key, unless there is one already.
func (r *keyReader) fail(key, problem string) { r.failWithCause(key, problem, nil) }

// failWithCause records an error of a key with its cause, unless there is one already.
func (r *keyReader) failWithCause(key, problem string, cause error) {
	if r.err == nil {
		r.err = &KeyError{Key: key, Problem: problem, Err: cause}
	}
}

// checkUnique checks that no name occurs twice. Names become indices; after a duplicate, every later item would get the
// settings of its neighbour.
func (r *keyReader) checkUnique(key string, names []string) {
	seen := map[string]struct{}{}
	for _, name := range names {
		if _, duplicate := seen[name]; duplicate {
			r.fail(key, fmt.Sprintf("names %q twice", name))
		}
		seen[name] = struct{}{}
	}
}

// required returns the text of a key. A missing key is an error.
func (r *keyReader) required(key string) string {
	v := r.get(key)
	if v == "" {
		r.fail(key, "is missing")
	}
	return v
}

// variableOrRequired returns the value of an environment variable, or if that is empty the text of a key. It is an error if
// both are missing.
func (r *keyReader) variableOrRequired(variable, key string) string {
	if variable != "" {
		return variable
	}
	return r.required(key)
}

// hexadecimal returns the 64-bit hexadecimal number of a key. A missing key is an error.
func (r *keyReader) hexadecimal(key string) uint64 {
	v := r.required(key)
	n, err := strconv.ParseUint(v, 16, 64)
	if err != nil {
		r.failWithCause(key, fmt.Sprintf("is no hexadecimal number of 64 bits: %q", v), err)
	}
	return n
}

// checkAddress checks that the text of a key is an address with a port.
func (r *keyReader) checkAddress(key, address string) {
	if _, port, err := net.SplitHostPort(address); err != nil || port == "" {
		r.failWithCause(key, fmt.Sprintf("is no address with a port: %q", address), err)
	}
}

// parseInteger converts the text of a key to an integer.
func (r *keyReader) parseInteger(key, v string) int64 {
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		r.failWithCause(key, fmt.Sprintf("is no integer: %q", v), err)
	}
	return n
}

// optionalInteger returns the integer of a key, or 0 if the key is missing.
func (r *keyReader) optionalInteger(key string) int64 {
	v := r.get(key)
	if v == "" {
		return 0
	}
	return r.parseInteger(key, v)
}

// count returns the number of a key, maxCount at most. A missing key or a negative number is an error.
func (r *keyReader) count(key string) int {
	r.required(key)
	return r.optionalCount(key)
}

// optionalCount is like count, but returns 0 if the key is missing.
func (r *keyReader) optionalCount(key string) int {
	n := r.optionalInteger(key)
	if n < 0 {
		r.fail(key, belowZero)
	}
	return int(min(n, maxCount))
}

// duration returns the duration of a key, which is written in nanoseconds, maxDuration at most. A missing key or a negative number is
// an error.
func (r *keyReader) duration(key string) time.Duration {
	return r.parseDuration(key, r.required(key))
}

// optionalDuration is like duration, but returns 0 if the key is missing.
func (r *keyReader) optionalDuration(key string) time.Duration {
	v := r.get(key)
	if v == "" {
		return 0
	}
	return r.parseDuration(key, v)
}

// parseDuration converts the text of a key, a number of nanoseconds, to a duration.
func (r *keyReader) parseDuration(key, v string) time.Duration {
	d := time.Duration(r.parseInteger(key, v))
	if d < 0 {
		r.fail(key, belowZero)
	}
	return min(d, maxDuration)
}

// decimal returns the number of a key, maxDecimal at most, or defaultValue if the key is missing. NaN, infinity and negative numbers are
// errors.
func (r *keyReader) decimal(key string, defaultValue float64) float64 {
	v := r.get(key)
	if v == "" {
		return defaultValue
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		r.failWithCause(key, fmt.Sprintf("is no number: %q", v), err)
		return defaultValue
	}
	if f < 0 {
		r.fail(key, belowZero)
	}
	return min(f, maxDecimal)
}

// boolean returns whether the text of a key is true or 1. It returns false for false, 0 and a missing key; any other text is an
// error.
func (r *keyReader) boolean(key string) bool {
	switch r.get(key) {
	case "", "false", "0":
		return false
	case "true", "1":
		return true
	}
	r.fail(key, "is neither true nor false")
	return false
}

// requiredChoice returns the value that words has for the text of a key. If the key is missing or the word unknown, it records an
// error in r, which keeps the first one, and returns the zero value.
func requiredChoice[T any](r *keyReader, key string, words map[string]T) T {
	return parseChoice(r, key, r.required(key), words)
}

// parseChoice returns the value that words has for v, the text of a key. If the word is unknown, it records an error in r,
// which keeps the first one, and returns the zero value.
func parseChoice[T any](r *keyReader, key, v string, words map[string]T) T {
	t, ok := words[v]
	if !ok {
		r.fail(key, fmt.Sprintf("has an unknown word: %q", v))
	}
	return t
}
