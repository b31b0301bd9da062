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

// serveCommand runs a front: what deploy/balancer.toml starts, configured by EDGE_CONFIG and the operator's file.
type serveCommand struct {
	File string `env:"DAPPLEROUTER_FILE" type:"path" placeholder:"FILE" help:"The operator's own file; what is new is off without it."`
}

func (c *serveCommand) run() int { return runProcess(c.File, loadFrontConfig) }

// loadFrontConfig is loadOperatorConfig for a front, which makes no use of the gateway form.
func loadFrontConfig(path string, instance *deployment.Instance) (*operatorConfig, error) {
	o, err := loadOperatorConfig(path, instance)
	if err == nil {
		o.gateway = nil
	}
	return o, err
}

// errNoGateway is returned for an operator's file that the gateway command can't use.
var errNoGateway = errors.New("the file has no form gateway")

// loadGatewayConfig is loadOperatorConfig for the gateway command, which needs a file with the gateway form.
func loadGatewayConfig(path string, instance *deployment.Instance) (*operatorConfig, error) {
	o, err := loadOperatorConfig(path, instance)
	if err == nil && o.gateway == nil {
		err = fmt.Errorf("%s: %w", path, errNoGateway)
	}
	return o, err
}

// runProcess runs a front or gateway until it is stopped, and returns the exit code. The process is the service's alone: its signals,
// its log and its limits are set here.
func runProcess(file string, load func(path string, instance *deployment.Instance) (*operatorConfig, error)) int {
	// Before the configuration is read: a SIGHUP for a change behind that reading is not missed.
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

// notifySignals returns the channels of the signals that stop the service and have it read its configuration again.
func notifySignals() (stop, reload <-chan os.Signal) {
	stopSignals, reloadSignals := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stopSignals, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // whoever read the log may be gone
	return stopSignals, reloadSignals
}

// setDefaultLogger sends the log to a writer, without repeated warnings; EDGE_LOG=debug lowers the level.
func setDefaultLogger(w *queuedWriter) {
	level := slog.LevelInfo
	if os.Getenv("EDGE_LOG") == "debug" {
		level = slog.LevelDebug
	}
	slog.SetDefault(slog.New(newRepeatedWarnings(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))))
}

// programBytes is reserved for the program's own pages, which the garbage collector does not count: in a flood 10 MiB were resident
// beyond its limit.
const programBytes = 12 << 20

// heapLimit is the garbage collector's limit, in bytes, for an instance's memory.
func heapLimit(memory int64) int64 { return max(memory/2, min(memory/4*3, memory-programBytes)) }
