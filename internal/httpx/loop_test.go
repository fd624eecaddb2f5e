package httpx

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"brooklb/internal/actor"
)

// echo is a handler whose answers repeat the request; some paths make calls or delay the
// answer.
type echo struct {
	l *Loop
}

func (e echo) Serve(r *Request, peer bool, reply func(Response)) {
	body := fmt.Sprintf("%s %s %v %s", r.Method, r.Path, peer, r.Body)
	switch r.Path {
	case "/later":
		e.l.After(30*time.Millisecond, func() { reply(Response{Status: 200, Body: []byte(body)}) })
	case "/call": // calls the loop's own address
		e.l.Call(actor.Call{Addr: e.l.bind, Method: "POST", Path: "/later", Body: []byte("x"), Timeout: time.Second, Done: func(a actor.Answer) {
			reply(Response{Status: a.Status, Body: a.Body})
		}})
	case "/nobody":
		e.l.Call(actor.Call{Addr: "127.0.0.1:1", Method: "GET", Path: "/", Timeout: time.Second, Done: func(a actor.Answer) {
			reply(Response{Status: 200, Body: fmt.Appendf(nil, "unsent %v", a.Unsent())})
		}})
	case "/silent":
	default:
		reply(Response{Status: 200, Body: []byte(body)})
	}
}

func (e echo) Paused(time.Duration) {}

func freeAddr(t *testing.T) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func TestLoop(t *testing.T) {
	bind, peer := freeAddr(t), freeAddr(t)
	l := NewLoop(bind, peer, 14, 1, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(context.Background())
	booted, ended := make(chan struct{}), make(chan error, 1)
	go func() { ended <- l.Run(ctx, echo{l}, func() { close(booted) }) }()
	select {
	case <-booted:
	case err := <-ended:
		t.Fatal(err)
	case <-time.After(5 * time.Second):
		t.Fatal("the loop has not started after 5 s")
	}
	// The standard library's client covers keep-alive connections as well.
	c := &http.Client{Timeout: 3 * time.Second}
	get := func(url, body, want string) {
		t.Helper()
		r, err := c.Post("http://"+url, "", strings.NewReader(body))
		if err != nil {
			t.Error(err)
			return
		}
		b, _ := io.ReadAll(r.Body)
		r.Body.Close()
		if string(b) != want {
			t.Errorf("%s: %q, want %q", url, b, want)
		}
	}
	for range 3 {
		get(bind+"/a", "one", "POST /a false one")
		get(bind+"/later", "two", "POST /later false two")
		get(peer+"/b", "", "POST /b true ")
		get(bind+"/call", "", "POST /later false x")
		get(bind+"/nobody", "", "unsent true")
	}
	raw := func(send ...string) string {
		t.Helper()
		k, err := net.Dial("tcp4", bind)
		if err != nil {
			t.Fatal(err)
		}
		defer k.Close()
		_ = k.SetDeadline(time.Now().Add(3 * time.Second))
		for _, s := range send {
			_, _ = k.Write([]byte(s))
			time.Sleep(5 * time.Millisecond)
		}
		line, _ := bufio.NewReader(k).ReadString('\n')
		return line
	}
	if got := raw("GET /x HT", "TP/1.1\r\nHo", "st: a\r\n\r\n"); !strings.Contains(got, " 200 ") {
		t.Errorf("a request in three writes: %q", got)
	}
	if got := raw("nonsense\r\n\r\n"); !strings.Contains(got, " 400 ") {
		t.Errorf("nonsense: %q", got)
	}
	if got := raw("POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n"); !strings.Contains(got, " 400 ") {
		t.Errorf("too large a body, refused before it is sent: %q", got)
	}
	// Connections above the limit are refused immediately.
	var open []net.Conn
	last := ""
	for i := 0; i < 12 && last == ""; i++ {
		k, err := net.Dial("tcp4", bind)
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, k)
		_ = k.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		last, _ = bufio.NewReader(k).ReadString('\n')
	}
	if !strings.Contains(last, " 503 ") {
		t.Errorf("no connection was refused: %q", last)
	}
	for _, k := range open {
		k.Close()
	}
	stop()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
