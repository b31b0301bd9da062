//go:build !race

package processtest

const raceOn = false
