// Package procstat reads the resource usage of a process from Linux's /proc.
package procstat

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the resolution of the processor times in /proc, which Linux fixes.
const ticksPerSecond = 100

// Sample is the resource usage of a process at one moment.
type Sample struct {
	CPU     time.Duration // user and system time since the process started
	RSS     int64         // bytes
	PeakRSS int64
	Sockets int
}

var errFormat = errors.New("unexpected format")

// Read takes a sample of the process with the given ID.
func Read(pid int) (Sample, error) {
	dir := "/proc/" + strconv.Itoa(pid)
	var s Sample
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return s, fmt.Errorf("procstat: %w", err)
	}
	if s.CPU, err = cpuTime(stat); err != nil {
		return s, fmt.Errorf("procstat: %s/stat: %w", dir, err)
	}
	status, err := os.ReadFile(dir + "/status")
	if err != nil {
		return s, fmt.Errorf("procstat: %w", err)
	}
	s.RSS, s.PeakRSS = statusBytes(status, "VmRSS:"), statusBytes(status, "VmHWM:")
	s.Sockets, err = countSockets(dir + "/fd")
	if err != nil {
		return s, fmt.Errorf("procstat: %w", err)
	}
	return s, nil
}

// cpuTime sums fields 14 and 15 of a stat line, the user and system time. Field 2, the
// program's name, may contain spaces and ends with the last parenthesis.
func cpuTime(stat []byte) (time.Duration, error) {
	end := bytes.LastIndexByte(stat, ')')
	if end < 0 {
		return 0, errFormat
	}
	fields := strings.Fields(string(stat[end+1:]))
	if len(fields) < 13 {
		return 0, errFormat
	}
	var ticks int64
	for _, f := range fields[11:13] {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, errFormat
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

// statusBytes parses a line such as "VmRSS:  123 kB" and returns bytes, or 0 if the line is
// missing or malformed.
func statusBytes(status []byte, name string) int64 {
	for line := range strings.Lines(string(status)) {
		rest, ok := strings.CutPrefix(line, name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
		if err != nil {
			return 0
		}
		return n << 10
	}
	return 0
}

// countSockets counts the open sockets in the file descriptor directory of a process.
func countSockets(dir string) (int, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0, err
	}
	n := 0
	for _, e := range entries {
		target, err := os.Readlink(dir + "/" + e.Name())
		if err == nil && strings.HasPrefix(target, "socket:") {
			n++
		}
	}
	return n, nil
}
