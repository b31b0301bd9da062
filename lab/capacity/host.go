package capacity

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"syscall"
	"time"
)

// cpuTime returns the CPU time of all threads of this process, user and system.
func cpuTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, fmt.Errorf("getrusage: %w", err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// residentMemory returns a process's resident memory in bytes.
func residentMemory(pid int) (int64, error) {
	path := fmt.Sprintf("/proc/%d/status", pid)
	kib, err := readField(path, "VmRSS:")
	return kib << 10, err
}

// ThisMachine returns the resources of this machine. The error says which of them could not be read.
func ThisMachine() (Machine, error) {
	kib, err := readField("/proc/meminfo", "MemTotal:")
	if err != nil {
		return Machine{}, err
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return Machine{}, fmt.Errorf("getrlimit: %w", err)
	}
	return Machine{Memory: kib << 10, Descriptors: int(min(limit.Cur, 1<<30))}, nil
}

// readField returns the number after a name at the beginning of a line of a file. The error is ErrFieldMissing if no line has the name.
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
	return 0, fmt.Errorf("%s: %w: %s", path, ErrFieldMissing, name)
}
