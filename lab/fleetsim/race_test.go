//go:build race

package fleetsim

// raceEnabled reports whether the race detector is on.
const raceEnabled = true
