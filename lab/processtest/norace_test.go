//go:build !race

package processtest

const raceEnabled = false
