package procstat

import (
	"net"
	"os"
	"runtime"
	"testing"
	"time"
)

// TestOwnProcess samples this process before and after it computes and opens a socket.
func TestOwnProcess(t *testing.T) {
	before, err := Read(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	sum := 0
	for end := time.Now().Add(100 * time.Millisecond); time.Now().Before(end); {
		sum++
	}
	after, err := Read(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if used := after.CPU - before.CPU; used < 20*time.Millisecond || sum == 0 {
		t.Errorf("%v of processor time for 100 ms of work", used)
	}
	if after.Sockets != before.Sockets+1 || after.RSS < 1<<20 || after.PeakRSS < after.RSS/2 {
		t.Errorf("before %+v, after %+v", before, after)
	}
}

// TestBadFiles checks that truncated and malformed lines are rejected.
func TestBadFiles(t *testing.T) {
	for _, bad := range []string{"", "1 (x", "1 (x) S 1 2", "1 (x) S 1 1 1 1 1 1 1 1 1 1 a b"} {
		if _, err := cpuTime([]byte(bad)); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
	got, err := cpuTime([]byte("7 (a ) b) S 1 1 1 1 1 1 1 1 1 1 150 50 0 0"))
	if err != nil || got != 2*time.Second {
		t.Errorf("got %v, %v", got, err)
	}
	if statusBytes([]byte("VmRSS:\t 12 kB\n"), "VmRSS:") != 12<<10 || statusBytes([]byte("VmRSS: x kB"), "VmRSS:") != 0 {
		t.Error("wrong number of bytes")
	}
	if _, err := Read(-1); err == nil {
		t.Error("no error for a process that doesn't exist")
	}
}

// TestThreadCPU checks that the processor time of a thread grows while it works, not while it
// waits.
func TestThreadCPU(t *testing.T) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	before := ThreadCPU()
	time.Sleep(50 * time.Millisecond)
	waited := ThreadCPU() - before
	sum := 0
	for ThreadCPU()-before < waited+10*time.Millisecond && sum < 1<<32 {
		sum++
	}
	if waited > 20*time.Millisecond || ThreadCPU()-before < 10*time.Millisecond {
		t.Errorf("%v while waiting, %v after work", waited, ThreadCPU()-before)
	}
}
