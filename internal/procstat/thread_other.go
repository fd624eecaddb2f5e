//go:build !linux

package procstat

import "time"

var processStart = time.Now()

// ThreadCPU returns the time since the process started, because it can't read a thread's
// processor time on this system.
func ThreadCPU() time.Duration { return time.Since(processStart) }
