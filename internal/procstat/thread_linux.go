package procstat

import (
	"syscall"
	"time"
	"unsafe"
)

// clockThreadCPU is CLOCK_THREAD_CPUTIME_ID.
const clockThreadCPU = 3

// ThreadCPU is the processor time of the calling thread, which the caller has to itself
// (runtime.LockOSThread).
func ThreadCPU() time.Duration {
	var t syscall.Timespec
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockThreadCPU, uintptr(unsafe.Pointer(&t)), 0); errno != 0 {
		return 0
	}
	return time.Duration(t.Nano())
}
