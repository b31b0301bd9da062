//go:build race

package proxysim

// raceEnabled reports whether the race detector is on.
const raceEnabled = true
