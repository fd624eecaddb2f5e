// Package httpx implements HTTP/1.1: a parser with bounded reads, and a server and a client
// that share one gnet event loop.
package httpx

import (
	"bytes"
	"errors"
	"strconv"
)

const (
	maxHeaderBytes = 8 << 10
	maxRequestBody = 64 << 10
	// Responses of the state service and the cloud can be long: a page has up to 512 KiB,
	// and an answer to a watch has no size limit.
	maxResponseBody = 16 << 20
)

var (
	errMalformed    = errors.New("broken HTTP")
	errBodyTooLarge = errors.New("body too large")
)

// Request is one parsed request. Body is valid only until the handler returns.
type Request struct {
	Method, Path, Query string
	Body                []byte
	Close               bool
}

// Response is a handler's answer.
type Response struct {
	Status     int
	Body       []byte
	RetryAfter int // seconds; 0: none
	Type       string
	Close      bool
}

type message struct {
	line  []byte // first line
	body  []byte
	close bool
}

// parse parses one complete message at the start of b. It returns the number of bytes used,
// or 0 while more bytes are needed. A response without a length ends with the connection
// (eof).
func parse(b []byte, response, eof bool, limit int) (message, int, error) {
	var m message
	skip := 0
	if !response { // empty lines before a request are allowed
		for skip < len(b) && (b[skip] == '\r' || b[skip] == '\n') {
			skip++
		}
		if skip > 64 {
			return m, 0, errMalformed
		}
	}
	h := b[skip:]
	end := bytes.Index(h[:min(len(h), maxHeaderBytes+4)], []byte("\r\n\r\n"))
	if end < 0 {
		if len(h) > maxHeaderBytes {
			return m, 0, errMalformed
		}
		return m, 0, nil
	}
	head, rest := h[:end], h[end+4:]
	used := skip + end + 4
	nl := bytes.IndexByte(head, '\n')
	if nl < 0 {
		m.line, head = head, nil
	} else {
		m.line, head = bytes.TrimSuffix(head[:nl], []byte("\r")), head[nl+1:]
	}
	length, chunked := -1, false
	if bytes.HasSuffix(m.line, []byte("HTTP/1.0")) || bytes.HasPrefix(m.line, []byte("HTTP/1.0")) {
		m.close = true
	}
	for len(head) > 0 {
		var l []byte
		if i := bytes.IndexByte(head, '\n'); i >= 0 {
			l, head = head[:i], head[i+1:]
		} else {
			l, head = head, nil
		}
		l = bytes.TrimSuffix(l, []byte("\r"))
		c := bytes.IndexByte(l, ':')
		if c <= 0 || l[c-1] == ' ' || l[0] == ' ' || l[0] == '\t' {
			return m, 0, errMalformed
		}
		name, val := l[:c], bytes.TrimSpace(l[c+1:])
		switch {
		case equalFold(name, "content-length"):
			n, err := strconv.ParseUint(string(val), 10, 62)
			if err != nil || (length >= 0 && length != int(n)) {
				return m, 0, errMalformed
			}
			length = int(n)
		case equalFold(name, "transfer-encoding"):
			if !equalFold(val, "chunked") {
				return m, 0, errMalformed
			}
			chunked = true
		case equalFold(name, "connection"):
			if equalFold(val, "close") {
				m.close = true
			} else if equalFold(val, "keep-alive") {
				m.close = false
			}
		}
	}
	if chunked && length >= 0 {
		return m, 0, errMalformed // two lengths allow request smuggling
	}
	if chunked {
		body, n, err := parseChunks(rest, limit)
		if err != nil || n == 0 {
			return m, 0, err
		}
		m.body = body
		return m, used + n, nil
	}
	if length < 0 && response && !noBody(m.line) {
		if !eof {
			if len(rest) > limit {
				return m, 0, errBodyTooLarge
			}
			return m, 0, nil
		}
		m.body, m.close = rest, true
		return m, used + len(rest), nil
	}
	if length > limit {
		return m, 0, errBodyTooLarge
	}
	if length > 0 {
		if len(rest) < length {
			return m, 0, nil
		}
		m.body = rest[:length]
		used += length
	}
	return m, used, nil
}

func noBody(line []byte) bool {
	return len(line) > 12 && (bytes.HasPrefix(line[9:], []byte("204")) || bytes.HasPrefix(line[9:], []byte("304")))
}

func parseChunks(b []byte, limit int) ([]byte, int, error) {
	var body []byte
	used := 0
	for {
		i := bytes.Index(b[used:min(len(b), used+1024)], []byte("\r\n"))
		if i < 0 {
			if len(b)-used >= 1024 {
				return nil, 0, errMalformed
			}
			return nil, 0, nil
		}
		size := b[used : used+i]
		if s := bytes.IndexByte(size, ';'); s >= 0 {
			size = size[:s]
		}
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 31)
		if err != nil {
			return nil, 0, errMalformed
		}
		if len(body)+int(n) > limit {
			return nil, 0, errBodyTooLarge
		}
		used += i + 2
		if n == 0 {
			// Trailers until an empty line.
			for {
				j := bytes.Index(b[used:min(len(b), used+maxHeaderBytes)], []byte("\r\n"))
				if j < 0 {
					if len(b)-used >= maxHeaderBytes {
						return nil, 0, errMalformed
					}
					return nil, 0, nil
				}
				used += j + 2
				if j == 0 {
					return body, used, nil
				}
			}
		}
		if len(b) < used+int(n)+2 {
			return nil, 0, nil
		}
		body = append(body, b[used:used+int(n)]...)
		used += int(n)
		if b[used] != '\r' || b[used+1] != '\n' {
			return nil, 0, errMalformed
		}
		used += 2
	}
}

func equalFold(b []byte, s string) bool {
	if len(b) != len(s) {
		return false
	}
	for i := range b {
		c := b[i]
		if c >= 'A' && c <= 'Z' {
			c += 32
		}
		if c != s[i] {
			return false
		}
	}
	return true
}

// ParseRequest parses one request at the start of b. It returns the number of bytes used, or
// 0 while more are needed. A body above the limit is an error before it has been read.
func ParseRequest(b []byte) (Request, int, error) {
	m, n, err := parse(b, false, false, maxRequestBody)
	if err != nil || n == 0 {
		return Request{}, n, err
	}
	p1 := bytes.IndexByte(m.line, ' ')
	p2 := bytes.LastIndexByte(m.line, ' ')
	if p1 <= 0 || p2 <= p1+1 || !bytes.HasPrefix(m.line[p2+1:], []byte("HTTP/1.")) {
		return Request{}, 0, errMalformed
	}
	target := m.line[p1+1 : p2]
	if target[0] != '/' || bytes.IndexByte(target, ' ') >= 0 {
		return Request{}, 0, errMalformed
	}
	r := Request{Method: string(m.line[:p1]), Body: m.body, Close: m.close}
	if q := bytes.IndexByte(target, '?'); q >= 0 {
		r.Path, r.Query = string(target[:q]), string(target[q+1:])
	} else {
		r.Path = string(target)
	}
	return r, n, nil
}

// ParseResponse parses one response at the start of b. n is the number of bytes used, or 0
// while more are needed; eof says that the connection has ended.
func ParseResponse(b []byte, eof bool) (status int, body []byte, closing bool, n int, err error) {
	m, n, err := parse(b, true, eof, maxResponseBody)
	if err != nil || n == 0 {
		return 0, nil, false, n, err
	}
	if len(m.line) < 12 || !bytes.HasPrefix(m.line, []byte("HTTP/1.")) {
		return 0, nil, false, 0, errMalformed
	}
	status, err = strconv.Atoi(string(m.line[9:12]))
	if err != nil || status < 100 {
		return 0, nil, false, 0, errMalformed
	}
	return status, m.body, m.close, n, nil
}

var reasons = map[int]string{200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found",
	405: "Method Not Allowed", 409: "Conflict", 421: "Misdirected Request", 422: "Unprocessable Entity",
	429: "Too Many Requests", 503: "Service Unavailable"}

// AppendResponse appends an encoded response to b.
func AppendResponse(b []byte, r Response) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(r.Status), 10)
	b = append(b, ' ')
	b = append(b, reasons[r.Status]...)
	if r.Type == "" {
		r.Type = "application/json"
	}
	b = append(b, "\r\nContent-Type: "...)
	b = append(b, r.Type...)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(r.Body)), 10)
	if r.RetryAfter > 0 {
		b = append(b, "\r\nRetry-After: "...)
		b = strconv.AppendInt(b, int64(r.RetryAfter), 10)
	}
	if r.Close {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, r.Body...)
}

// AppendRequest appends an encoded request to b.
func AppendRequest(b []byte, method, host, path, typ string, body []byte) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, path...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	if len(body) > 0 || method == "POST" {
		if typ == "" {
			typ = "application/json"
		}
		b = append(b, "\r\nContent-Type: "...)
		b = append(b, typ...)
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, body...)
}
