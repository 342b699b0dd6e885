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
	// ordinaryLimit is the time limit of all requests.
	ordinaryLimit = 3 * time.Second
)

// phase is a time in which ordinary requests come to each host, gap apart.
type phase struct {
	name        string
	length, gap time.Duration
	path        string
}

// The phases of the case. The one of the crowd has about as many requests a second as the users' site
// has on its heaviest days.
var (
	before    = phase{"before", 3 * time.Second, 200 * time.Millisecond, "/stream/x"}
	after     = phase{"after", 10 * time.Second, 200 * time.Millisecond, "/stream/x"}
	crowd     = phase{"crowd", 45 * time.Second, 12500 * time.Microsecond, "/short/x"}
	afterward = phase{"afterward", 5 * time.Second, 200 * time.Millisecond, "/short/x"}
)

// tally counts the answers to ordinary requests.
type tally struct {
	mu                       sync.Mutex
	sent, served, unanswered int
	statuses                 map[string]int
}

// oddPrompt sends a request to each host whose Prompt-Prefix declares a part of 3,000,000,000 tokens,
// between ordinary requests to all hosts.
func oddPrompt(s *stage, trouble bool) (int, error) {
	for i := range 3 {
		o := runner.Options{Slots: 10, Queue: 60, Streams: true, EventTime: time.Millisecond}
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
	if t := s.sendOrdinary(before); t.served < t.sent*9/10 {
		return cannotRun, errors.New("the hosts don't serve ordinary requests")
	}
	if trouble {
		for _, h := range s.hosts {
			status, err := s.sendPrompt(h, "/stream/x", oddPrefix)
			s.note("a request with Prompt-Prefix %s to %s: status %d, %v", oddPrefix, h.name, status, err)
		}
	}
	served := s.sendOrdinary(after).served + s.sendOrdinary(crowd).served
	last := s.sendOrdinary(afterward)
	served += last.served
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
	s.note("ordinary requests served after the odd ones: %d; without any answer: %d of the last %d", served, last.unanswered, last.sent)
	if served == 0 || ended > 0 || last.unanswered > last.sent/2 {
		return broken, nil
	}
	return held, nil
}

// sendOrdinary sends ordinary requests to all hosts for a time and waits for their answers.
func (s *stage) sendOrdinary(p phase) *tally {
	t := &tally{statuses: map[string]int{}}
	var wg sync.WaitGroup
	for until := time.Now().Add(p.length); time.Now().Before(until); time.Sleep(p.gap) {
		for _, h := range s.hosts {
			wg.Go(func() {
				status, err := s.sendPrompt(h, p.path, fmt.Sprintf(ordinaryPrefix, s.attempts.Load()))
				t.mu.Lock()
				defer t.mu.Unlock()
				t.sent++
				if status == http.StatusOK && err == nil {
					t.served++
				}
				text := fmt.Sprintf("status %d", status)
				if status == 0 {
					t.unanswered++
					text = "no answer"
				}
				t.statuses[text]++
			})
		}
	}
	wg.Wait()
	s.note("%s: %d ordinary requests, %d served, %v", p.name, t.sent, t.served, t.statuses)
	return t
}

// sendPrompt sends one request for a stream.
func (s *stage) sendPrompt(h *host, path, parts string) (int, error) {
	attempt := fmt.Sprintf("a%06d", s.attempts.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), ordinaryLimit+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.address+path, strings.NewReader("prompt"))
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
