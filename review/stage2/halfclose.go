package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/standin/runner"
)

const (
	// orderWork is how long an endpoint works on an order, and eventTime the time between two
	// events of a stream.
	orderWork = 300 * time.Millisecond
	eventTime = 60 * time.Millisecond
	// closeAfter is when a requester closes its sending side after its request.
	closeAfter = 100 * time.Millisecond
	// requesters is how many of each kind send a request.
	requesters = 10
	// shortTimeout is the timeout of the route /short/.
	shortTimeout = time.Second
)

// halfClose lets requesters close the sending side of their channel after the request, and read on.
func halfClose(s *stage, trouble bool) (int, error) {
	if err := s.addRunner("app", "zone-a", runner.Options{Slots: 6, Queue: 24, Work: orderWork}); err != nil {
		return cannotRun, err
	}
	if err := s.addRunner("llm", "zone-a", runner.Options{Slots: 10, Queue: 60, Streams: true, EventTime: eventTime}); err != nil {
		return cannotRun, err
	}
	if err := s.writeTwoServices(); err != nil {
		return cannotRun, err
	}
	h, err := s.addHost("front-0", "zone-a")
	if err != nil {
		return cannotRun, err
	}
	if err := h.start(); err != nil {
		return cannotRun, err
	}
	if !s.awaitReady() {
		return cannotRun, errNotReady
	}
	time.Sleep(time.Second)
	faults := 0
	for range requesters {
		for _, path := range []string{"/unsafe/x", "/stream/x"} {
			fault, err := s.sendAndHalfClose(h, path, trouble)
			if err != nil {
				return cannotRun, err
			}
			if fault != "" {
				faults++
				s.note("%s", fault)
			}
		}
	}
	s.note("answers that are no whole answer of an endpoint and look like one: %d of %d", faults, 2*requesters)
	if faults > 0 {
		return broken, nil
	}
	return held, nil
}

// sendAndHalfClose sends one request and reads what comes. It returns what is wrong with it, or
// nothing.
func (s *stage) sendAndHalfClose(h *host, path string, closes bool) (fault string, err error) {
	attempt := fmt.Sprintf("a%06d", s.attempts.Add(1))
	conn, err := net.Dial("tcp", h.address)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	s.trace("sent: %s, POST %s", attempt, path)
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: app.test\r\nAttempt-Id: %s\r\nCredential: key\r\nDeadline-Ms: 5000\r\nContent-Length: 5\r\n\r\norder", path, attempt); err != nil {
		return "", err
	}
	time.Sleep(closeAfter)
	if closes {
		s.trace("%s: the requester closes its sending side", attempt)
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		s.trace("answered: %s, none: %v", attempt, err)
		return "", nil
	}
	defer func() { _ = resp.Body.Close() }()
	body, readErr := io.ReadAll(resp.Body)
	sealed := resp.Header.Get("Runner-Seal") != ""
	s.trace("answered: %s, status %d, sealed: %t, %d bytes, end: %v", attempt, resp.StatusCode, sealed, len(body), readErr)
	whole := runner.Body(attempt)
	if strings.HasPrefix(path, "/stream/") {
		whole = runner.Stream(attempt)
	}
	switch {
	case resp.StatusCode/100 != 2 || readErr != nil:
		return "", nil
	case !sealed:
		return fmt.Sprintf("%s: POST %s is answered with status %d without the endpoint's seal, and %d bytes", attempt, path, resp.StatusCode, len(body)), nil
	case string(body) != whole:
		return fmt.Sprintf("%s: POST %s is answered with status %d and %d of the endpoint's %d bytes, as if they were all", attempt, path, resp.StatusCode, len(body), len(whole)), nil
	}
	return "", nil
}

// writeTwoServices writes a configuration with a plain service and a model.
func (s *stage) writeTwoServices() error {
	value, err := json.Marshal(map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{
				"name": "unsafe", "host": "app.test", "prefix": "/unsafe/", "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 300,
				"service": "app", "max_attempts": 1, "priority": 2,
			},
			map[string]any{
				"name": "stream", "host": "app.test", "prefix": "/stream/", "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 600,
				"gap_aim_ms": 400, "service": "llm", "max_attempts": 1, "session_affinity": true,
			},
			map[string]any{
				"name": "short", "host": "app.test", "prefix": "/short/", "kind": "streaming", "timeout_ms": shortTimeout.Milliseconds(),
				"target_latency_ms": 400, "gap_aim_ms": 400, "service": "llm", "max_attempts": 1, "session_affinity": true,
			},
		},
		"services": []any{
			map[string]any{"name": "app", "max_connections": 110},
			map[string]any{"name": "llm", "max_connections": 370, "engine": map[string]any{"slots": 10, "kv_capacity": 575497, "stride": 7}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "blue", "api_keys": []string{"key"}, "priority": 0}},
	})
	if err != nil {
		return err
	}
	s.store.Put("op", "", "config", value)
	return nil
}
