//go:build race

package model

const raceOn = true
