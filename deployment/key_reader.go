package deployment

import (
	"fmt"
	"math"
	"net"
	"strconv"
	"time"
)

// Source returns the text under a dotted path, and "" where there is none. The values of a list of plain ones
// are joined by commas; a list of objects has its length under .count and its items under .0, .1 and so on.
type Source func(path string) string

// KeyError says what is wrong with the text under a key, or under an environment variable.
type KeyError struct {
	Key, Problem string // its text is both, separated by a space
	Transient    bool   // the file could not be opened or is not complete, as while it is written: a later attempt may succeed
	Err          error  // the cause, where there is one; Problem has its text
}

// Error implements error.
func (e *KeyError) Error() string { return e.Key + " " + e.Problem }

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Err }

// keyReader converts the values of a Source and keeps the first error.
type keyReader struct {
	get Source
	err error
}

// fail notes an error.
func (r *keyReader) fail(key, problem string) { r.failWith(key, problem, nil) }

// failWith notes an error with its cause.
func (r *keyReader) failWith(key, problem string, cause error) {
	if r.err == nil {
		r.err = &KeyError{Key: key, Problem: problem, Err: cause}
	}
}

// unique checks that no name stands twice: names become indices, and all behind it would have the settings of their neighbours.
func (r *keyReader) unique(key string, names []string) {
	seen := map[string]struct{}{}
	for _, n := range names {
		if _, twice := seen[n]; twice {
			r.fail(key, fmt.Sprintf("names %q twice", n))
		}
		seen[n] = struct{}{}
	}
}

// required returns the text of a key that must be there.
func (r *keyReader) required(key string) string {
	v := r.get(key)
	if v == "" {
		r.fail(key, "is missing")
	}
	return v
}

// overridable returns the text of an environment variable, or else that of a key that must be there then.
func (r *keyReader) overridable(variable, key string) string {
	if variable != "" {
		return variable
	}
	return r.required(key)
}

// hexadecimal returns the number of 64 bits of a key that must be there.
func (r *keyReader) hexadecimal(key string) uint64 {
	v := r.required(key)
	n, err := strconv.ParseUint(v, 16, 64)
	if err != nil {
		r.failWith(key, fmt.Sprintf("is no hexadecimal number of 64 bits: %q", v), err)
	}
	return n
}

// checkAddress checks that what was read under a key is an address with a port.
func (r *keyReader) checkAddress(key, address string) {
	if _, port, err := net.SplitHostPort(address); err != nil || port == "" {
		r.failWith(key, fmt.Sprintf("is no address with a port: %q", address), err)
	}
}

// parse converts an integer that was read under a key.
func (r *keyReader) parse(key, v string) int64 {
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		r.failWith(key, fmt.Sprintf("is no integer: %q", v), err)
	}
	return n
}

// integer returns the integer of a key that must be there.
func (r *keyReader) integer(key string) int64 {
	r.required(key)
	return r.optionalInteger(key)
}

// optionalInteger returns the integer of a key, 0 where that is missing.
func (r *keyReader) optionalInteger(key string) int64 {
	v := r.get(key)
	if v == "" {
		return 0
	}
	return r.parse(key, v)
}

// duration returns the nanoseconds of a key that must be there, and not below 0.
func (r *keyReader) duration(key string) time.Duration {
	n := r.integer(key)
	if n < 0 {
		r.fail(key, "is below 0")
	}
	return time.Duration(n)
}

// decimal returns the number of a key, or a default where that is missing.
func (r *keyReader) decimal(key string, missing float64) float64 {
	v := r.get(key)
	if v == "" {
		return missing
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		r.failWith(key, fmt.Sprintf("is no number: %q", v), err)
		return missing
	}
	return f
}

// boolean returns whether the text of a key is true or 1; it is false where that is missing.
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

// choice returns what the word of a key stands for.
func choice[T any](r *keyReader, key string, words map[string]T) T {
	return word(r, key, r.required(key), words)
}

// word returns what a word that was read under a key stands for.
func word[T any](r *keyReader, key, v string, words map[string]T) T {
	t, ok := words[v]
	if !ok {
		r.fail(key, fmt.Sprintf("has an unknown word: %q", v))
	}
	return t
}
