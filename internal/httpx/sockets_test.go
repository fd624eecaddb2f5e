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

// TestSocketsAreReused guards against a fleet of more machines than there are sockets:
// connections of ours that wait for the next call give way to new ones and to workers
// that come, and neither calls nor those who connect to us are refused for them.
func TestSocketsAreReused(t *testing.T) {
	const most, others, workers = 80, 150, 40
	var to []string
	for range others {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "x") }))
		defer s.Close()
		to = append(to, s.Listener.Addr().String())
	}
	bind, peer := freeAddr(t), freeAddr(t)
	l := NewLoop(bind, peer, most, 1, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	failed, open := make(chan int, 1), make(chan int, 1)
	go func() {
		_ = l.Run(ctx, echo{l}, func() {
			bad, peak := 0, 0
			var next func(i int)
			next = func(i int) {
				if peak = max(peak, l.sockets.served+l.sockets.dialed-l.sockets.closing); i == 3*others {
					failed <- bad
					open <- peak
					return
				}
				l.Call(actor.Call{Addr: to[i%others], Method: "GET", Path: "/", Timeout: 2 * time.Second, Done: func(a actor.Answer) {
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
			t.Errorf("%d of %d calls failed", n, 3*others)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the calls took 20 s")
	}
	if n := <-open; n > most {
		t.Errorf("%d connections were open, there are %d sockets", n, most)
	}
	for i, k := range ks {
		_ = k.SetDeadline(time.Now().Add(2 * time.Second))
		fmt.Fprint(k, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
		b := make([]byte, 12)
		if _, err := io.ReadFull(k, b); err != nil || string(b) != "HTTP/1.1 200" {
			t.Fatalf("worker %d was answered %q, %v", i, b, err)
		}
	}
}
