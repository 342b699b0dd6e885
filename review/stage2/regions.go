package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/standin/runner"
)

const (
	// The tenant's allotment, in tokens, and the users' bounds for it.
	allotmentRate, allotmentBurst = 100_000, 100_000
	quotaWindow                   = 8 * time.Second
	quotaOverage, quotaSlack      = 0.1, 140_000
	// requestTokens is what each request counts, and requestGap the time between two of them at
	// one region: together the regions ask for four times the allotment.
	requestTokens = 5_000
	requestGap    = 25 * time.Millisecond
	regionLoad    = 30 * time.Second
)

// regionCut lets one tenant ask for more than its allotment in two regions that have lost each
// other, while both reach the store.
func regionCut(s *stage, trouble bool) (int, error) {
	for i := range 4 {
		if err := s.addRunner("app", fmt.Sprintf("zone-%c", 'a'+i%2), runner.Options{Slots: 6, Queue: 24, Work: 30 * time.Millisecond}); err != nil {
			return cannotRun, err
		}
	}
	if err := s.writeAllotment(); err != nil {
		return cannotRun, err
	}
	wires := map[string]string{}
	gate, err := newStoreGate(s.storeAddress, wires)
	if err != nil {
		return cannotRun, err
	}
	s.storeAddress = gate
	for i := range 2 {
		h, err := s.addHost(fmt.Sprintf("front-%d", i), fmt.Sprintf("zone-%c", 'a'+i), fmt.Sprintf("region-%d", i))
		if err != nil {
			return cannotRun, err
		}
		w, err := newWire(h.links, trouble)
		if err != nil {
			return cannotRun, err
		}
		wires[h.links] = w.listener.Addr().String()
	}
	if trouble {
		s.note("the regions have lost each other")
	}
	for _, h := range s.hosts {
		if err := h.start(); err != nil {
			return cannotRun, err
		}
	}
	if !s.awaitReady(10 * time.Second) {
		return cannotRun, errNotReady
	}
	time.Sleep(3 * time.Second)
	s.loadRegions()
	return s.checkAllotment(), nil
}

// loadRegions sends the tenant's requests to both regions.
func (s *stage) loadRegions() {
	s.note("each region gets a request of %d tokens every %s", requestTokens, requestGap)
	var wg sync.WaitGroup
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var mu sync.Mutex
	statuses := map[string]int{}
	for _, h := range s.hosts {
		wg.Go(func() {
			for until := time.Now().Add(regionLoad); time.Now().Before(until); time.Sleep(requestGap) {
				wg.Go(func() {
					status := s.sendTokens(client, h)
					mu.Lock()
					defer mu.Unlock()
					statuses[fmt.Sprintf("%s: status %d", h.name, status)]++
				})
			}
		})
	}
	wg.Wait()
	for text, n := range statuses {
		s.note("%s: %d", text, n)
	}
}

// sendTokens sends one request of the tenant.
func (s *stage) sendTokens(client *http.Client, h *host) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+h.address+"/safe/x", nil)
	if err != nil {
		return 0
	}
	req.Host = "app.test"
	attempt := fmt.Sprintf("a%06d", s.attempts.Add(1))
	req.Header.Set("Attempt-Id", attempt)
	req.Header.Set("Credential", "key")
	req.Header.Set("Deadline-Ms", "3000")
	req.Header.Set("Token-Usage", fmt.Sprintf("%d,%d", requestTokens-500, 500))
	s.trace("sent: %s to %s", attempt, h.name)
	resp, err := client.Do(req)
	if err != nil {
		s.trace("answered: %s, %v", attempt, err)
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	s.trace("answered: %s, status %d", attempt, resp.StatusCode)
	return resp.StatusCode
}

// checkAllotment compares the requests that ran in each window with the tenant's allotment.
func (s *stage) checkAllotment() int {
	var began []time.Time
	for _, r := range s.runners {
		for _, run := range r.Runs() {
			began = append(began, run.Began)
		}
	}
	slices.SortFunc(began, time.Time.Compare)
	most, from := 0, 0
	var at time.Time
	for to := range began {
		for began[to].Sub(began[from]) >= quotaWindow {
			from++
		}
		if n := to - from + 1; n > most {
			most, at = n, began[from]
		}
	}
	allowed := (allotmentRate*quotaWindow.Seconds()+allotmentBurst)*(1+quotaOverage) + quotaSlack
	tokens := float64(most * requestTokens)
	s.note("most in a window of %s: %d requests, %.0f tokens, from %.1f s on; allowed: %.0f", quotaWindow, most, tokens, at.Sub(s.began).Seconds(), allowed)
	if tokens > allowed {
		return broken
	}
	return held
}

// writeAllotment writes a configuration with one tenant that has an allotment.
func (s *stage) writeAllotment() error {
	value, err := json.Marshal(map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "safe", "host": "app.test", "prefix": "/safe/", "kind": "safe", "timeout_ms": 2000, "target_latency_ms": 300,
			"service": "app", "max_attempts": 2, "priority": 2,
		}},
		"services": []any{map[string]any{"name": "app", "max_connections": 110}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{
			"name": "blue", "api_keys": []string{"key"}, "priority": 0, "unit": "tokens", "plain_tokens": 200,
			"per_s": allotmentRate, "burst": allotmentBurst,
		}},
	})
	if err != nil {
		return err
	}
	s.store.Put("op", "", "config", value)
	return nil
}
