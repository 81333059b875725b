//go:build review

package kit

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Client sends requests one after the other on a connection that it keeps while the VM does.
type Client struct {
	VM     *VM
	conn   net.Conn
	reader *bufio.Reader
}

var lastID atomic.Int64

// NextID returns a new request id.
func NextID() string { return fmt.Sprintf("9c41d07b%08x", lastID.Add(1)) }

// Answer is what a client sees of its request.
type Answer struct {
	ID string
	// Status is 0 if no response head arrived.
	Status    int
	RequestID string
	Signed    bool
	// RetryAfter is the time after which the client may come back, 0 if the answer states none.
	RetryAfter time.Duration
	Body       []byte
	// Err is the error that ended the connection before the answer was complete. Sent is false if no connection was opened.
	Err  error
	Sent bool
	// GaveUp is true if the client closed the connection at its own time limit.
	GaveUp bool
	Took   time.Duration
}

// Do sends one request with the given time limit and waits for the answer until the limit and slack have passed.
func (c *Client) Do(id, method, path string, body []byte, limit, slack time.Duration) (a Answer) {
	a.ID = id
	started := time.Now()
	defer func() { a.Took = time.Since(started) }()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.VM.Front, time.Second)
		if err != nil {
			a.Err = err
			return a
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(started.Add(limit + slack))
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nHornbeamway-Request-Id: %s\r\nHornbeamway-Deadline-Ms: %d\r\n"+
		"Content-Length: %d\r\n\r\n%s", method, path, Host, id, limit.Milliseconds(), len(body), body)
	a.Sent = true
	keep := false
	if err == nil {
		keep, err = c.read(&a, method)
	}
	var timeout net.Error
	a.Err, a.GaveUp = err, errors.As(err, &timeout) && timeout.Timeout()
	if err != nil || !keep {
		c.Close()
	}
	return a
}

func (c *Client) read(a *Answer, method string) (keep bool, err error) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return false, err
	}
	a.Status, a.RequestID = resp.StatusCode, resp.Header.Get("Hornbeamway-Request-Id")
	a.Signed = resp.Header.Get("Hornbeamway-Response-Signature") != ""
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	a.Body, err = io.ReadAll(resp.Body)
	return !resp.Close, err
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
