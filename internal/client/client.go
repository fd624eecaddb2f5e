// Package client sends requests to a running service on behalf of the command line.
package client

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"brooklb/internal/httpx"
)

// Client sends requests to the nodes of a service and tries the next node when one fails.
type Client struct {
	// Nodes has the nodes' addresses in the form host:port.
	Nodes []string
	// RetryFor bounds the sum of the pauses between retries; 0 disables retries.
	RetryFor time.Duration
	sleep    func(time.Duration)
}

// ErrUnavailable reports that no node gave a final response.
var ErrUnavailable = errors.New("no node has answered")

const (
	responseTimeout = 5 * time.Second
	dialTimeout     = 2 * time.Second
	maxRetryPause   = 30 * time.Second
)

// Final reports whether a status is final. A temporary refusal (429, 503 or 504) is worth a
// retry, and 0 means that there was no response.
func Final(status int) bool {
	switch status {
	case 429, 503, 504:
		return false
	}
	return status > 0
}

// Do sends a request to the nodes in turn until one gives a final response or RetryFor is
// used up. A retry is safe because every request of the command line may be repeated.
func (c *Client) Do(method, path string, body []byte) (status int, response []byte, err error) {
	sleep := c.sleep
	if sleep == nil {
		sleep = time.Sleep
	}
	var last error
	for remaining := c.RetryFor; ; {
		pause := time.Second
		for _, node := range c.Nodes {
			st, b, after, err := send(node, method, path, body)
			switch {
			case err != nil:
				last = fmt.Errorf("%s: %w", node, err)
			case Final(st):
				return st, b, nil
			default:
				last = fmt.Errorf("%s: %d %s", node, st, bytes.TrimSpace(b))
				pause = max(pause, min(after, maxRetryPause))
			}
		}
		if remaining < pause {
			return 0, nil, fmt.Errorf("%w: %w", ErrUnavailable, last)
		}
		remaining -= pause
		sleep(pause)
	}
}

// GetFromEachNode sends a GET request to every node once and calls f with each result.
func (c *Client) GetFromEachNode(path string, f func(node string, status int, response []byte, err error)) {
	for _, node := range c.Nodes {
		st, b, _, err := send(node, "GET", path, nil)
		f(node, st, b, err)
	}
}

// send sends a request to one node. It returns the wait that the Retry-After header asks for.
func send(node, method, path string, body []byte) (status int, response []byte, after time.Duration, err error) {
	c, err := net.DialTimeout("tcp", node, dialTimeout)
	if err != nil {
		return 0, nil, 0, err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(responseTimeout)); err != nil {
		return 0, nil, 0, err
	}
	if _, err := c.Write(httpx.AppendRequest(nil, method, node, path, "", body)); err != nil {
		return 0, nil, 0, err
	}
	var received []byte
	buf := make([]byte, 16<<10)
	for {
		n, rerr := c.Read(buf)
		received = append(received, buf[:n]...)
		st, b, _, used, err := httpx.ParseResponse(received, rerr != nil)
		if err != nil {
			return 0, nil, 0, err
		}
		if used > 0 {
			return st, append([]byte(nil), b...), retryAfter(received[:used]), nil
		}
		if rerr != nil {
			return 0, nil, 0, rerr
		}
	}
}

// retryAfter returns the delay in the Retry-After header of a response, or 0 without one.
func retryAfter(response []byte) time.Duration {
	head, _, _ := bytes.Cut(response, []byte("\r\n\r\n"))
	for _, line := range strings.Split(string(head), "\r\n") {
		if k, v, ok := strings.Cut(line, ":"); ok && strings.EqualFold(k, "Retry-After") {
			if n, err := strconv.Atoi(strings.TrimSpace(v)); err == nil && n >= 0 {
				return time.Duration(n) * time.Second
			}
		}
	}
	return 0
}
