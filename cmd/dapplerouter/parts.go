package main

import (
	"log/slog"
	"time"
)

// subsystem is what a front runs beside the ordinary path: the gateway's link, the fleet. Each is started, asked for its
// totals, drained and closed alike, and is there only where the operator's file has its form.
type subsystem interface {
	Name() string
	Start() error
	Totals() []any                   // for a line of the log
	DiscoveryMoved(discovery string) // the list's service has another address
	Drain(within time.Duration)      // lets go what others can take over
	Close()
}

// subsystems are those of one front, in the order of their start.
type subsystems []subsystem

// start starts them all, or none.
func (ps subsystems) start() error {
	for i, p := range ps {
		if err := p.Start(); err != nil {
			ps[:i].close()
			return err
		}
	}
	return nil
}

func (ps subsystems) logTotals() {
	for _, p := range ps {
		slog.Info(p.Name()+" totals", p.Totals()...)
	}
}

func (ps subsystems) discoveryMoved(discovery string) {
	for _, p := range ps {
		p.DiscoveryMoved(discovery)
	}
}

func (ps subsystems) drain(within time.Duration) {
	for _, p := range ps {
		p.Drain(within)
	}
}

// close ends them, the last first.
func (ps subsystems) close() {
	for i := len(ps) - 1; i >= 0; i-- {
		ps[i].Close()
	}
}
