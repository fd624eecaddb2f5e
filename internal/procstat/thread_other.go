//go:build !linux

package procstat

import "time"

var started = time.Now()

// ThreadCPU is the time since the start, where a thread's processor time can't be read.
func ThreadCPU() time.Duration { return time.Since(started) }
