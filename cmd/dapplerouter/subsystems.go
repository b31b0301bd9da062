package main

import (
	"log/slog"
	"time"
)

// subsystem is an optional part of a service beside the request path, such as the gateway's link or the fleet's agent. It runs if the
// operator's file has its form.
type subsystem interface {
	Name() string
	Start() error
	Totals() []any                          // counters, as attributes for a log line
	DiscoveryAddressChanged(address string) // the address of discovery has changed
	Drain(within time.Duration)             // transfers what other fronts can take over, such as leases
	Close()
}

// subsystems holds the subsystems of one service in the order in which they are started.
type subsystems []subsystem

// start starts all subsystems. If one fails, start closes those that it has started and returns the error.
func (all subsystems) start() error {
	for i, s := range all {
		if err := s.Start(); err != nil {
			all[:i].close()
			return err
		}
	}
	return nil
}

// logTotals writes a log line with the counters of each subsystem.
func (all subsystems) logTotals() {
	for _, s := range all {
		slog.Info(s.Name()+" totals", s.Totals()...)
	}
}

// discoveryMoved tells each subsystem that the address of discovery has changed.
func (all subsystems) discoveryMoved(address string) {
	for _, s := range all {
		s.DiscoveryAddressChanged(address)
	}
}

// drain lets each subsystem in turn transfer what other fronts can take over; each has the whole time.
func (all subsystems) drain(within time.Duration) {
	for _, s := range all {
		s.Drain(within)
	}
}

// close closes all subsystems, in reverse order of their start.
func (all subsystems) close() {
	for i := len(all) - 1; i >= 0; i-- {
		all[i].Close()
	}
}
