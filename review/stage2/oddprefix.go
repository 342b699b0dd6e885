package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/standin/runner"
)

const (
	// ordinaryPrefix is the prompt of ordinary requests and oddPrefix that of a client that the users
	// don't control.
	ordinaryPrefix = "5c1e07a2:60,%08x:40"
	oddPrefix      = "5c1e07a2:60,91bd3f06:3000000000"
	// ordinaryBefore and ordinaryAfter are how long ordinary requests come before and after the odd
	// ones, at each host ordinaryGap apart. ordinaryLimit is the time limit of all requests.
	ordinaryBefore, ordinaryAfter = 3 * time.Second, 20 * time.Second
	ordinaryGap                   = 200 * time.Millisecond
	ordinaryLimit                 = 3 * time.Second
)

// tally counts the answers to ordinary requests.
type tally struct {
	mu       sync.Mutex
	sent     int
	served   int
	statuses map[string]int
}

// oddPrompt sends a request to each host whose Prompt-Prefix declares a part of 3,000,000,000 tokens,
// between ordinary requests to all hosts.
func oddPrompt(s *stage, trouble bool) (int, error) {
	for i := range 3 {
		o := runner.Options{Slots: 10, Queue: 60, Streams: true, EventTime: 10 * time.Millisecond}
		if err := s.addRunner("llm", fmt.Sprintf("zone-%c", 'a'+i%2), o); err != nil {
			return cannotRun, err
		}
	}
	if err := s.writeTwoServices(); err != nil {
		return cannotRun, err
	}
	for i := range 4 {
		h, err := s.addHost(fmt.Sprintf("front-%d", i), fmt.Sprintf("zone-%c", 'a'+i%2))
		if err != nil {
			return cannotRun, err
		}
		if err := h.start(); err != nil {
			return cannotRun, err
		}
	}
	if !s.awaitReady() {
		return cannotRun, errNotReady
	}
	time.Sleep(2 * time.Second)
	before := s.sendOrdinary(ordinaryBefore)
	s.note("before: %d ordinary requests, %d served", before.sent, before.served)
	if before.served < before.sent*9/10 {
		return cannotRun, errors.New("the hosts don't serve ordinary requests")
	}
	if trouble {
		for _, h := range s.hosts {
			status, err := s.sendPrompt(h, oddPrefix)
			s.note("a request with Prompt-Prefix %s to %s: status %d, %v", oddPrefix, h.name, status, err)
		}
	}
	after := s.sendOrdinary(ordinaryAfter)
	s.note("after: %d ordinary requests, %d served, %v", after.sent, after.served, after.statuses)
	ready, ended := 0, 0
	for _, h := range s.hosts {
		select {
		case <-h.ended:
			ended++
		default:
			if h.isReady() {
				ready++
			}
		}
	}
	s.note("hosts that say they are ready: %d, processes that ended: %d, of %d", ready, ended, len(s.hosts))
	if after.served == 0 || ended > 0 {
		return broken, nil
	}
	return held, nil
}

// sendOrdinary sends ordinary requests to all hosts for a time and waits for their answers.
func (s *stage) sendOrdinary(length time.Duration) *tally {
	t := &tally{statuses: map[string]int{}}
	var wg sync.WaitGroup
	for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(ordinaryGap) {
		for _, h := range s.hosts {
			wg.Go(func() {
				status, err := s.sendPrompt(h, fmt.Sprintf(ordinaryPrefix, s.attempts.Load()))
				t.mu.Lock()
				defer t.mu.Unlock()
				t.sent++
				if status == http.StatusOK && err == nil {
					t.served++
				}
				text := fmt.Sprintf("status %d", status)
				if err != nil {
					text = "no answer"
				}
				t.statuses[text]++
			})
		}
	}
	wg.Wait()
	return t
}

// sendPrompt sends one request for a stream.
func (s *stage) sendPrompt(h *host, parts string) (int, error) {
	attempt := fmt.Sprintf("a%06d", s.attempts.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), ordinaryLimit+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.address+"/stream/x", strings.NewReader("prompt"))
	if err != nil {
		return 0, err
	}
	req.Host, req.Close = "app.test", true
	req.Header.Set("Attempt-Id", attempt)
	req.Header.Set("Credential", "key")
	req.Header.Set("Deadline-Ms", fmt.Sprint(ordinaryLimit.Milliseconds()))
	req.Header.Set("Model", "m")
	req.Header.Set("Token-Usage", fmt.Sprintf("%d,80", max(100, strings.Count(parts, ":"))))
	req.Header.Set("Prompt-Prefix", parts)
	s.trace("sent: %s to %s, Prompt-Prefix %.60s, %d bytes", attempt, h.name, parts, len(parts))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.trace("answered: %s, none: %v", attempt, err)
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	s.trace("answered: %s, status %d, end: %v", attempt, resp.StatusCode, err)
	return resp.StatusCode, err
}
