package main

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dapplerouter/testsupport/fakeserver"
)

// cpuTimeOfTest returns the CPU time that this process has used, in user and system mode.
func cpuTimeOfTest() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// queryConcurrently sends b.N statements in all through concurrent clients, each of which has one in flight. It returns the number of
// statements that failed.
func queryConcurrently(b *testing.B, address string, clients int, sql func(n int64) string) (failed int64) {
	var n, failures atomic.Int64
	var all sync.WaitGroup
	for range clients {
		c := dial(b, address)
		all.Go(func() {
			for k := n.Add(1); k <= int64(b.N); k = n.Add(1) {
				if a, err := c.Query(sql(k)); err != nil || a.Code != "" {
					failures.Add(1)
				}
			}
		})
	}
	all.Wait()
	return failures.Load()
}

// BenchmarkFront measures the CPU time of a request without and with the classing form, which includes that of clients and fake servers.
// The difference between the two is the cost of classification.
func BenchmarkFront(b *testing.B) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	for name, file := range map[string]string{"without": "", "with": operatorFile} {
		b.Run(name, func(b *testing.B) {
			g := startGroup(b, 2)
			address := startFront(b, g, file)
			before := cpuTimeOfTest()
			b.ResetTimer()
			failed := queryConcurrently(b, address, 4, func(n int64) string {
				return fmt.Sprintf("SELECT data FROM facts WHERE code = 'k%d' /* id=%d,c=browse,d=8000,cluster=0 */", n%100, n)
			})
			b.StopTimer()
			b.ReportMetric(float64(cpuTimeOfTest()-before)/float64(b.N)/1e3, "cpu-us/request")
			b.ReportMetric(float64(failed), "refused")
		})
	}
}

// benchFrontProgram names the environment variable with the program that the benchmarks start as a front, in place of one built from this
// tree, so that two builds can be compared.
const benchFrontProgram = "BENCH_FRONT"

// frontProgram returns the program that a benchmark starts as a front.
func frontProgram(b *testing.B) string {
	if program := os.Getenv(benchFrontProgram); program != "" {
		return program
	}
	program := filepath.Join(b.TempDir(), "dapplerouter")
	out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	require.NoError(b, err, string(out))
	return program
}

// frontProcess is a front that runs in a process of its own before a group of fake servers.
type frontProcess struct {
	address string
	process *os.Process
}

// startFrontProcess starts a front and waits until it accepts clients. The front is stopped when the benchmark ends.
func startFrontProcess(b *testing.B, program string, g *fakeserver.Group, operatorFile string, settings ...setting) *frontProcess {
	dir := b.TempDir()
	list := g.ServeEndpoints()
	b.Cleanup(list.Close)
	address := reserveAddress(b)
	text := configure(b, list.Listener.Addr().String(), g.EndpointSnapshot(), append(settings, setting{"listen", address})...)
	config, operator := filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.sexp")
	require.NoError(b, os.WriteFile(config, text, 0o600))
	require.NoError(b, os.WriteFile(operator, []byte(operatorFile), 0o600))
	front := exec.Command(program)
	front.Env = append(os.Environ(), "EDGE_CONFIG="+config)
	if operatorFile != "" {
		front.Env = append(front.Env, "DAPPLEROUTER_FILE="+operator)
	}
	require.NoError(b, front.Start())
	b.Cleanup(func() {
		_ = front.Process.Signal(syscall.SIGTERM) // it may have ended
		_ = front.Wait()
	})
	require.Eventually(b, func() bool {
		c, err := fakeserver.Dial(address)
		if err == nil {
			c.Close()
		}
		return err == nil
	}, 10*time.Second, 20*time.Millisecond)
	return &frontProcess{address, front.Process}
}

// cpuTime returns the CPU time that the process has used, in user and system mode, in steps of 10 ms.
func (p *frontProcess) cpuTime() time.Duration {
	const tick = 10 * time.Millisecond
	usage, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.process.Pid))
	f := strings.Fields(string(usage))
	user, _ := strconv.Atoi(f[13])
	system, _ := strconv.Atoi(f[14])
	return time.Duration(user+system) * tick
}

// anonymousMemory returns the resident anonymous memory of the process in kB. The kernel can drop pages of the program's file at any time,
// so these don't count.
func (p *frontProcess) anonymousMemory() int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.process.Pid))
	f := anonymousPages.FindStringSubmatch(string(status))
	if f == nil {
		return 0
	}
	n, _ := strconv.Atoi(f[1]) // the pattern has digits only
	return n
}

var anonymousPages = regexp.MustCompile(`RssAnon:\s+(\d+)`)

// BenchmarkFrontCPU measures the CPU time that a front of its own process spends on a request, by how long the fake servers take and the
// number of clients that each have one request in flight.
func BenchmarkFrontCPU(b *testing.B) {
	program := frontProgram(b)
	for _, duration := range []time.Duration{0, time.Millisecond} {
		for _, clients := range []int{1, 16, 64, 200} {
			b.Run(fmt.Sprintf("%v/%d", duration, clients), func(b *testing.B) {
				benchmarkFrontCPU(b, program, duration, clients)
			})
		}
	}
}

func benchmarkFrontCPU(b *testing.B, program string, duration time.Duration, clients int) {
	g, err := fakeserver.Start(fakeserver.NewBookingData(20, 60, 500), 2, 1000, duration, 0)
	require.NoError(b, err)
	b.Cleanup(g.Close)
	front := startFrontProcess(b, program, g, "", setting{"Aim", 250 * time.Millisecond}, setting{"sockets", 1024})
	before := front.cpuTime()
	b.ResetTimer()
	failed := queryConcurrently(b, front.address, clients, func(n int64) string {
		return fmt.Sprintf("SELECT data FROM facts WHERE code = 'k%d' /* id=%d,c=browse,d=8000,cluster=0 */", n%100, n)
	})
	b.StopTimer()
	b.ReportMetric(float64(front.cpuTime()-before)/float64(b.N)/1e3, "front-cpu-us/request")
	b.ReportMetric(float64(failed), "refused")
}

// BenchmarkFrontIn32MB floods a front with different statements, and measures its peak memory. The front runs in a process of its own, and
// is configured with 32 MB of memory.
func BenchmarkFrontIn32MB(b *testing.B) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	program := frontProgram(b)
	for name, file := range map[string]string{"without": "", "with": strings.Replace(operatorFile, "2MiB", "8MiB", 1)} {
		b.Run(name, func(b *testing.B) {
			front := startFrontProcess(b, program, startGroup(b, 2), file, setting{"memory_mb", 32})
			peak, stop := 0, make(chan struct{})
			var sampler sync.WaitGroup
			sampler.Go(func() {
				for {
					peak = max(peak, front.anonymousMemory())
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
				}
			})
			before := front.cpuTime()
			b.ResetTimer()
			failed := queryConcurrently(b, front.address, 32, func(n int64) string {
				return fmt.Sprintf("SELECT a%d, b FROM facts WHERE code = 'k' AND c%d = 1 /* id=%d,c=browse,d=8000,cluster=0 */", n, n, n)
			})
			b.StopTimer()
			close(stop)
			sampler.Wait()
			b.ReportMetric(float64(peak)/1024, "MB-own")
			b.ReportMetric(float64(front.cpuTime()-before)/float64(b.N)/1e3, "front-cpu-us/request")
			b.ReportMetric(float64(failed), "refused")
		})
	}
}
