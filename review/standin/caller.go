package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// channel is a caller's connection to a gateway, kept for many requests.
type channel struct {
	gateway *gateway
	conn    net.Conn
	read    *bufio.Reader
	// served counts the answers on this connection, and answered is when the last one was whole.
	served   int
	answered time.Time
}

// request is one requester attempt.
type request struct {
	attempt, path, body string
	// headers are further header lines, each with its end.
	headers string
	limit   time.Duration
}

// outcome is how a request ended at its caller.
type outcome struct {
	request request
	gateway *gateway
	// kept is set if the channel had been used before, idle for how long it was not.
	kept bool
	idle time.Duration
	// status is 0 if no answer came, and closed is set if the gateway ended the channel instead.
	status int
	seal   string
	body   string
	closed bool
	err    error
	took   time.Duration
}

// attempts counts the requests of this process.
var attempts atomic.Int64

// newRequest returns a request with an id of its own.
func newRequest(path string, limit time.Duration) request {
	id := fmt.Sprintf("%016x", uint64(attempts.Add(1))+0x9c41d07b00000000)
	return request{attempt: id, path: path, limit: limit, body: "order " + id}
}

// open connects to the gateway if there is no connection.
func (c *channel) open() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.gateway.front, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.read, c.served = conn, bufio.NewReader(conn), 0
	return nil
}

// close ends the connection.
func (c *channel) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// do sends a request and waits for its answer until its time limit.
func (c *channel) do(rec *record, r request) outcome {
	out := outcome{request: r, gateway: c.gateway}
	if out.err = c.open(); out.err != nil {
		rec.add("no-channel attempt=%s host=%s error=%q", r.attempt, c.gateway.name, out.err)
		return out
	}
	if out.kept = c.served > 0; out.kept {
		out.idle = time.Since(c.answered)
	}
	began := time.Now()
	rec.add("sent attempt=%s host=%s path=%s kept=%t idle=%.1fs", r.attempt, c.gateway.name, r.path, out.kept, out.idle.Seconds())
	c.exchange(r, &out)
	out.took = time.Since(began)
	switch {
	case out.err != nil:
		out.closed = errors.Is(out.err, io.EOF) || errors.Is(out.err, io.ErrUnexpectedEOF) || isReset(out.err)
		rec.add("unanswered attempt=%s host=%s after=%.3fs closed=%t error=%q", r.attempt, c.gateway.name, out.took.Seconds(), out.closed, out.err)
		c.close()
	default:
		rec.add("answered attempt=%s host=%s after=%.3fs status=%d seal=%q bytes=%d", r.attempt, c.gateway.name, out.took.Seconds(), out.status, out.seal, len(out.body))
	}
	return out
}

// exchange writes the request and reads the answer.
func (c *channel) exchange(r request, out *outcome) {
	_ = c.conn.SetDeadline(time.Now().Add(r.limit + time.Second))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nCredential: key-0\r\nContent-Length: %d\r\n",
		r.path, r.attempt, r.limit.Milliseconds(), len(r.body))
	if _, out.err = io.WriteString(c.conn, head+r.headers+"\r\n"); out.err != nil {
		return
	}
	if _, out.err = io.WriteString(c.conn, r.body); out.err != nil {
		return
	}
	var resp *http.Response
	for {
		// Interim answers (1xx) precede the answer.
		if resp, out.err = http.ReadResponse(c.read, &http.Request{Method: http.MethodPost}); out.err != nil {
			return
		}
		if resp.StatusCode >= http.StatusOK {
			break
		}
		_ = resp.Body.Close()
	}
	b, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	out.err = err
	if err != nil {
		return
	}
	out.status, out.seal, out.body = resp.StatusCode, resp.Header.Get("Runner-Seal"), string(b)
	c.served, c.answered = c.served+1, time.Now()
	if resp.Close {
		c.close()
	}
}

// isReset reports whether a connection was reset by its peer.
func isReset(err error) bool {
	return strings.Contains(err.Error(), "connection reset") || strings.Contains(err.Error(), "broken pipe")
}
