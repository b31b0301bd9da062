//go:build race

package proxysim

const raceEnabled = true
