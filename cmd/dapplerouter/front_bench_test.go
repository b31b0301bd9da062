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

func cpu() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// queryConcurrently has clients send b.N statements in all, each its next once answered; it returns how many were not served.
func queryConcurrently(b *testing.B, address string, clients int, sql func(n int64) string) (refused int64) {
	var n, no atomic.Int64
	var all sync.WaitGroup
	for range clients {
		c := dial(b, address)
		all.Go(func() {
			for k := n.Add(1); k <= int64(b.N); k = n.Add(1) {
				if a, err := c.Query(sql(k)); err != nil || a.Code != "" {
					no.Add(1)
				}
			}
		})
	}
	all.Wait()
	return no.Load()
}

// BenchmarkFront measures what a request costs in CPU, that of clients and fake servers included: the difference between the two
// is what the form costs.
func BenchmarkFront(b *testing.B) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	for name, file := range map[string]string{"without": "", "with": operatorFile} {
		b.Run(name, func(b *testing.B) {
			g := startGroup(b, 2)
			address := startFront(b, g, file)
			before := cpu()
			b.ResetTimer()
			no := queryConcurrently(b, address, 4, func(n int64) string {
				return fmt.Sprintf("SELECT data FROM facts WHERE code = 'k%d' /* id=%d,c=browse,d=8000,cluster=0 */", n%100, n)
			})
			b.StopTimer()
			b.ReportMetric(float64(cpu()-before)/float64(b.N)/1e3, "cpu-us/request")
			b.ReportMetric(float64(no), "refused")
		})
	}
}

// BenchmarkFrontIn32MB floods a front in its own process, configured with 32 MB, with statements that differ, and measures its peak memory.
func BenchmarkFrontIn32MB(b *testing.B) {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	dir := b.TempDir()
	bin := filepath.Join(dir, "dapplerouter")
	out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput()
	require.NoError(b, err, string(out))
	for name, file := range map[string]string{"without": "", "with": strings.Replace(operatorFile, "2MiB", "8MiB", 1)} {
		b.Run(name, func(b *testing.B) {
			g := startGroup(b, 2)
			list := g.List()
			defer list.Close()
			address := reserveAddress(b)
			text := configure(b, list.Listener.Addr().String(), g.Listed(), setting{"listen", address}, setting{"memory_mb", 32})
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
			most, stop := 0, make(chan struct{})
			var sampler sync.WaitGroup
			sampler.Go(func() { // what is the process's own; pages of the program's file can be dropped at any time
				for {
					status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", front.Process.Pid))
					if f := regexp.MustCompile(`RssAnon:\s+(\d+)`).FindStringSubmatch(string(status)); f != nil {
						n, _ := strconv.Atoi(f[1])
						most = max(most, n)
					}
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
				}
			})
			b.ResetTimer()
			no := queryConcurrently(b, address, 32, func(n int64) string {
				return fmt.Sprintf("SELECT a%d, b FROM facts WHERE code = 'k' AND c%d = 1 /* id=%d,c=browse,d=8000,cluster=0 */", n, n, n)
			})
			b.StopTimer()
			close(stop)
			sampler.Wait()
			usage, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", front.Process.Pid))
			f := strings.Fields(string(usage))
			user, _ := strconv.Atoi(f[13])
			system, _ := strconv.Atoi(f[14])
			b.ReportMetric(float64(most)/1024, "MB-own")
			b.ReportMetric(float64(user+system)*1e4/float64(b.N), "front-cpu-us/request")
			b.ReportMetric(float64(no), "refused")
		})
	}
}
