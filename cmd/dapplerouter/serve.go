package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"dapplerouter/deployment"
)

// serveCommand runs a front. deploy/balancer.toml starts it; EDGE_CONFIG and the operator's file configure it.
type serveCommand struct {
	File string `env:"DAPPLEROUTER_FILE" type:"path" placeholder:"FILE" help:"The operator's own file; what is new is off without it."`
}

// run runs a front until it is told to stop.
func (c *serveCommand) run() int { return runProcess(c.File, loadFrontConfig) }

// loadFrontConfig is loadOperatorConfig for a front, which ignores the gateway form.
func loadFrontConfig(path string, instance *deployment.Instance) (*operatorConfig, error) {
	o, err := loadOperatorConfig(path, instance)
	if err == nil {
		o.gateway = nil
	}
	return o, err
}

// errNoGateway is returned if the gateway command is run with an operator's file that has no gateway form.
var errNoGateway = errors.New("the file has no gateway form")

// loadGatewayConfig is loadOperatorConfig for the gateway command, which requires the gateway form.
func loadGatewayConfig(path string, instance *deployment.Instance) (*operatorConfig, error) {
	o, err := loadOperatorConfig(path, instance)
	if err == nil && o.gateway == nil {
		err = fmt.Errorf("%s: %w", path, errNoGateway)
	}
	return o, err
}

// runProcess runs a front or gateway until it is stopped, and returns the exit code. It sets what belongs to the whole process: signal
// handling, the default logger, GOMAXPROCS and the memory limit.
func runProcess(file string, load func(path string, instance *deployment.Instance) (*operatorConfig, error)) int {
	// Signals are handled before the configuration is read, so that a SIGHUP for a change after the read is not missed.
	stop, reload := notifySignals()
	logOutput := newQueuedWriter(os.Stderr)
	defer logOutput.close()
	setDefaultLogger(logOutput)
	instance, err := loadInstance(context.Background())
	if err != nil {
		slog.Error("instance configuration invalid", "err", err)
		return exitUnusable
	}
	operator, err := load(file, instance)
	if err != nil {
		for _, err := range splitErrors(err) {
			slog.Error("operator file invalid", "err", err)
		}
		return exitUnusable
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(instance.Cores))))
	debug.SetMemoryLimit(heapLimit(instance.MemoryBytes))
	if err := runService(serviceOptions{instance: instance, operator: operator, stop: stop, reload: reload}); err != nil {
		slog.Error("service failed", "err", err)
		return exitNegative
	}
	return exitOK
}

// notifySignals returns a channel for the signals that stop the service and one for the signal that reloads its configuration.
func notifySignals() (stop, reload <-chan os.Signal) {
	stopSignals, reloadSignals := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stopSignals, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // the log's reader may be gone
	return stopSignals, reloadSignals
}

// setDefaultLogger makes the default logger write to w, with repeated warnings suppressed. EDGE_LOG=debug lowers the level from info to
// debug.
func setDefaultLogger(w *queuedWriter) {
	level := slog.LevelInfo
	if os.Getenv("EDGE_LOG") == "debug" {
		level = slog.LevelDebug
	}
	slog.SetDefault(slog.New(newRepeatedWarnings(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))))
}

// nonHeapBytes is the memory reserved for pages that the garbage collector's limit does not count, such as those of the program itself. In
// a flood of requests, 10 MiB beyond the limit were resident.
const nonHeapBytes = 12 << 20

// heapLimit returns the garbage collector's memory limit for an instance's memory, both in bytes.
func heapLimit(memory int64) int64 { return max(memory/2, min(memory/4*3, memory-nonHeapBytes)) }
