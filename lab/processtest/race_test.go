//go:build race

package processtest

const raceOn = true
