package httpx

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"brooklb/internal/actor"
)

// runCalls runs a loop and makes calls on its thread, one after the other. It returns the
// last answer.
func runCalls(t testing.TB, calls int, call actor.Call) (last actor.Answer) {
	addr := func() string {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		return ln.Addr().String()
	}
	l := NewLoop(addr(), addr(), 8, 1, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	done := make(chan actor.Answer, 1)
	n := 0
	var next func()
	next = func() {
		c := call
		c.Done = func(a actor.Answer) {
			if n++; n == calls {
				if len(l.pools) > 0 {
					t.Errorf("%d pools are kept for calls that don't reuse connections", len(l.pools))
				}
				done <- a
				return
			}
			next()
		}
		l.Call(c)
	}
	go func() { _ = l.Run(ctx, echo{l}, next) }()
	select {
	case last = <-done:
	case <-time.After(time.Minute):
		t.Fatal("the calls have not ended after a minute")
	}
	return last
}

// TestOnce checks calls with DisableKeepAlive, which health checks use: each call opens and
// closes its own connection, and a refused connection is reported as actor.ErrRefused.
func TestOnce(t *testing.T) {
	open := make(chan http.ConnState, 100)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(204) }))
	s.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		if st == http.StateNew || st == http.StateClosed {
			open <- st
		}
	}
	s.Start()
	defer s.Close()
	a := runCalls(t, 3, actor.Call{Addr: strings.TrimPrefix(s.URL, "http://"), Method: "GET", Path: "/", DisableKeepAlive: true, Timeout: time.Second})
	if a.Err != nil || a.Status != 204 {
		t.Errorf("%+v", a)
	}
	new, closed := 0, 0
	for end := time.After(2 * time.Second); closed < 3; {
		select {
		case st := <-open:
			if st == http.StateNew {
				new++
			} else {
				closed++
			}
		case <-end:
			t.Fatalf("%d connections opened, %d closed", new, closed)
		}
	}
	if new != 3 {
		t.Errorf("%d connections for 3 calls", new)
	}
	a = runCalls(t, 1, actor.Call{Addr: "127.0.0.1:1", Method: "GET", Path: "/", DisableKeepAlive: true, Timeout: time.Second})
	if !a.Unsent() || !errors.Is(a.Err, actor.ErrRefused) {
		t.Errorf("call to a closed port: %v", a.Err)
	}
}

// BenchmarkOnce measures a call on its own connection. The figures include the server, which
// runs in the same process.
func BenchmarkOnce(b *testing.B) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(200) }))
	defer s.Close()
	b.ReportAllocs()
	cpu := func() float64 {
		var u syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
			b.Fatal(err)
		}
		return float64(u.Utime.Nano()+u.Stime.Nano()) / 1000
	}
	before := cpu()
	defer func() { b.ReportMetric((cpu()-before)/float64(b.N), "cpu-us/call") }()
	runCalls(b, b.N, actor.Call{Addr: strings.TrimPrefix(s.URL, "http://"), Method: "GET", Path: "/", DisableKeepAlive: true, Timeout: time.Second})
}
