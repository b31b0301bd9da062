//go:build !race

package fleetsim

const raceEnabled = false
