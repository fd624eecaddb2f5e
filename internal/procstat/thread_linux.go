package procstat

import (
	"syscall"
	"time"
	"unsafe"
)

// clockThreadCPU is the value of CLOCK_THREAD_CPUTIME_ID.
const clockThreadCPU = 3

// ThreadCPU returns the processor time of the calling thread. The caller must have locked the
// thread with runtime.LockOSThread.
func ThreadCPU() time.Duration {
	var t syscall.Timespec
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockThreadCPU, uintptr(unsafe.Pointer(&t)), 0); errno != 0 {
		return 0
	}
	return time.Duration(t.Nano())
}
