//go:build !race

package proxysim

const raceOn = false
