package pgwire

import (
	"bytes"
	"math"
	"strconv"
)

// ParseLoadReport calls each for every name=value pair of a load report. It stops at the first malformed pair and reports
// whether all pairs were well formed. A value must be a finite number.
func ParseLoadReport(report []byte, each func(name string, value float64)) bool {
	for len(report) > 0 {
		var pair []byte
		pair, report, _ = bytes.Cut(report, []byte{','})
		name, text, ok := bytes.Cut(bytes.TrimSpace(pair), []byte{'='})
		value, err := strconv.ParseFloat(string(text), 64)
		if !ok || err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
			return false
		}
		each(string(name), value)
	}
	return true
}
