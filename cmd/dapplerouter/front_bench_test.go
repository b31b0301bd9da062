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

// BenchmarkFrontIn32MB floods a front with different statements, and measures its peak memory. The front runs in a process of its own, and
// is configured with 32 MB of memory.
func BenchmarkFrontIn32MB(b *testing.B) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	dir := b.TempDir()
	bin := filepath.Join(dir, "dapplerouter")
	out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput()
	require.NoError(b, err, string(out))
	for name, file := range map[string]string{"without": "", "with": strings.Replace(operatorFile, "2MiB", "8MiB", 1)} {
		b.Run(name, func(b *testing.B) {
			g := startGroup(b, 2)
			list := g.ServeEndpoints()
			defer list.Close()
			address := reserveAddress(b)
			text := configure(b, list.Listener.Addr().String(), g.EndpointSnapshot(), setting{"listen", address}, setting{"memory_mb", 32})
			config, operator := filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.sexp")
			require.NoError(b, os.WriteFile(config, text, 0o600))
			require.NoError(b, os.WriteFile(operator, []byte(file), 0o600))
			front := exec.Command(bin)
			front.Env = append(os.Environ(), "EDGE_CONFIG="+config)
			if file != "" {
				front.Env = append(front.Env, "DAPPLEROUTER_FILE="+operator)
			}
			require.NoError(b, front.Start())
			defer front.Wait()
			defer front.Process.Signal(syscall.SIGTERM)
			for range 100 {
				if c, err := fakeserver.Dial(address); err == nil {
					c.Close()
					break
				}
				time.Sleep(20 * time.Millisecond)
			}
			peak, stop := 0, make(chan struct{})
			var sampler sync.WaitGroup
			sampler.Go(func() { // anonymous memory only: the kernel can drop pages of the program's file at any time
				for {
					status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", front.Process.Pid))
					if f := regexp.MustCompile(`RssAnon:\s+(\d+)`).FindStringSubmatch(string(status)); f != nil {
						n, _ := strconv.Atoi(f[1])
						peak = max(peak, n)
					}
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
				}
			})
			b.ResetTimer()
			failed := queryConcurrently(b, address, 32, func(n int64) string {
				return fmt.Sprintf("SELECT a%d, b FROM facts WHERE code = 'k' AND c%d = 1 /* id=%d,c=browse,d=8000,cluster=0 */", n, n, n)
			})
			b.StopTimer()
			close(stop)
			sampler.Wait()
			usage, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", front.Process.Pid))
			f := strings.Fields(string(usage))
			user, _ := strconv.Atoi(f[13])
			system, _ := strconv.Atoi(f[14])
			b.ReportMetric(float64(peak)/1024, "MB-own")
			b.ReportMetric(float64(user+system)*1e4/float64(b.N), "front-cpu-us/request")
			b.ReportMetric(float64(failed), "refused")
		})
	}
}
