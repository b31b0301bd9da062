//go:build race

package processtest

const raceEnabled = true
