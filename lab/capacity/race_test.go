//go:build race

package capacity

const raceOn = true
