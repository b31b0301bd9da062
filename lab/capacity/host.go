package capacity

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"syscall"
	"time"
)

// cpuTime is this process's processor time, user and system, all threads.
func cpuTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, fmt.Errorf("getrusage: %w", err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// resident is a process's resident memory in bytes.
func resident(pid int) (int64, error) {
	path := fmt.Sprintf("/proc/%d/status", pid)
	kib, err := readField(path, "VmRSS:")
	return kib << 10, err
}

// ThisMachine is what the machine has.
func ThisMachine() (Machine, error) {
	kib, err := readField("/proc/meminfo", "MemTotal:")
	if err != nil {
		return Machine{}, err
	}
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return Machine{}, fmt.Errorf("getrlimit: %w", err)
	}
	return Machine{Memory: kib << 10, Descriptors: int(min(l.Cur, 1<<30))}, nil
}

// readField reads a number of KiB behind a name at the beginning of a line.
func readField(path, name string) (int64, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	for line := range bytes.Lines(data) {
		words := bytes.Fields(line)
		if len(words) >= 2 && string(words[0]) == name {
			return strconv.ParseInt(string(words[1]), 10, 64)
		}
	}
	return 0, fmt.Errorf("%s has no line %s", path, name)
}
