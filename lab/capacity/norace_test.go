//go:build !race

package capacity

const raceOn = false
