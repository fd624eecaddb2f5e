package dev

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"brooklb/internal/actor"
)

// workerLink is a worker's persistent connection to the controller that it reports to.
type workerLink struct {
	mu     sync.Mutex // one report is in flight at a time
	addr   string
	conn   net.Conn
	reader *bufio.Reader
}

// roundTrip sends a report and waits for its answer.
func (l *workerLink) roundTrip(call actor.Call, body []byte, count *Counter) actor.Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	deadline := time.Now().Add(call.Timeout)
	if l.addr != call.Addr {
		l.drop()
	}
	if l.conn == nil {
		if err := l.dial(call.Addr, deadline); err != nil {
			return actor.Answer{Err: errors.Join(actor.ErrNotSent, err)}
		}
	}
	answer, keep, err := l.exchange(call, body, count, deadline)
	if err != nil || !keep {
		l.drop()
	}
	if err != nil {
		return actor.Answer{Err: errors.Join(actor.ErrNoAnswer, err)}
	}
	return answer
}

func (l *workerLink) dial(addr string, deadline time.Time) error {
	conn, err := net.DialTimeout("tcp4", addr, time.Until(deadline))
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			err = errors.Join(actor.ErrRefused, err)
		}
		return err
	}
	l.addr, l.conn, l.reader = addr, conn, bufio.NewReaderSize(conn, 1<<10)
	return nil
}

// exchange sends a request and reads the answer. It also reports whether the connection
// may be reused.
func (l *workerLink) exchange(call actor.Call, body []byte, count *Counter, deadline time.Time) (answer actor.Answer, keep bool, err error) {
	if err := l.conn.SetDeadline(deadline); err != nil {
		return answer, false, err
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", call.Method, call.Path, call.Addr, len(body))
	request := append([]byte(head), body...)
	if _, err := l.conn.Write(request); err != nil {
		return answer, false, err
	}
	count.toController.Add(int64(len(request)))
	response, err := http.ReadResponse(l.reader, nil)
	if err != nil {
		return answer, false, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return answer, false, err
	}
	count.fromController.Add(int64(len(content) + headerBytes(response)))
	return actor.Answer{Status: response.StatusCode, Body: content}, !response.Close, nil
}

// headerBytes returns the length in bytes of a response's status line and headers.
func headerBytes(r *http.Response) int {
	n := len(r.Proto) + 1 + len(r.Status) + 4
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + 4
		}
	}
	return n
}

func (l *workerLink) drop() {
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn, l.reader, l.addr = nil, nil, ""
	}
}

func (l *workerLink) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop()
}
