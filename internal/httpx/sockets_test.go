package httpx

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"brooklb/internal/actor"
)

// TestSocketsAreReused covers a cluster with more machines than the process has sockets.
// Idle outbound connections are closed for new outbound and inbound ones, and neither calls
// nor inbound connections are refused because of them.
func TestSocketsAreReused(t *testing.T) {
	const maxSockets, servers, workers = 80, 150, 40
	var to []string
	for range servers {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "x") }))
		defer s.Close()
		to = append(to, s.Listener.Addr().String())
	}
	bind, peer := freeAddr(t), freeAddr(t)
	l := NewLoop(bind, peer, maxSockets, 1, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	failed, open := make(chan int, 1), make(chan int, 1)
	go func() {
		_ = l.Run(ctx, echo{l}, func() {
			bad, peak := 0, 0
			var next func(i int)
			next = func(i int) {
				if peak = max(peak, l.sockets.inbound+l.sockets.outbound-l.sockets.closing); i == 3*servers {
					failed <- bad
					open <- peak
					return
				}
				l.Call(actor.Call{Addr: to[i%servers], Method: "GET", Path: "/", Timeout: 2 * time.Second, Done: func(a actor.Answer) {
					if a.Err != nil || a.Status != 200 {
						bad++
					}
					next(i + 1)
				}})
			}
			next(0)
		})
	}()
	var ks []net.Conn
	for i := 0; i < workers; i++ {
		k, err := net.DialTimeout("tcp4", bind, time.Second)
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			i--
			continue
		}
		defer k.Close()
		ks = append(ks, k)
	}
	select {
	case n := <-failed:
		if n > 0 {
			t.Errorf("%d of %d calls failed", n, 3*servers)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the calls have not ended after 20 s")
	}
	if n := <-open; n > maxSockets {
		t.Errorf("%d connections were open, the limit is %d sockets", n, maxSockets)
	}
	for i, k := range ks {
		_ = k.SetDeadline(time.Now().Add(2 * time.Second))
		fmt.Fprint(k, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
		b := make([]byte, 12)
		if _, err := io.ReadFull(k, b); err != nil || string(b) != "HTTP/1.1 200" {
			t.Fatalf("worker %d got %q, %v", i, b, err)
		}
	}
}
