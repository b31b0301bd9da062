//go:build !race

package model

const raceOn = false
