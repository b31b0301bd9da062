package main

import (
	"log/slog"
	"time"
)

// subsystem is what a service runs beside the request path, where the operator's file has its form: the gateway's link, the fleet.
type subsystem interface {
	Name() string
	Start() error
	Totals() []any                 // attributes for a line of the log
	DiscoveryMoved(address string) // discovery has another address
	Drain(within time.Duration)    // transfers what others can take over
	Close()
}

// subsystems are those of one service, in the order of their start.
type subsystems []subsystem

// start starts all subsystems. Where one fails, those before it are closed again.
func (all subsystems) start() error {
	for i, s := range all {
		if err := s.Start(); err != nil {
			all[:i].close()
			return err
		}
	}
	return nil
}

func (all subsystems) logTotals() {
	for _, s := range all {
		slog.Info(s.Name()+" totals", s.Totals()...)
	}
}

func (all subsystems) discoveryMoved(address string) {
	for _, s := range all {
		s.DiscoveryMoved(address)
	}
}

func (all subsystems) drain(within time.Duration) {
	for _, s := range all {
		s.Drain(within)
	}
}

// close closes all, the last started first.
func (all subsystems) close() {
	for i := len(all) - 1; i >= 0; i-- {
		all[i].Close()
	}
}
