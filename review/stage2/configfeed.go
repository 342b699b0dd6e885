package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/standin/runner"
	"github.com/trefoilchute/trefoilchute/internal/standin/store"
)

var errNotReady = errors.New("the hosts did not become ready")

const (
	// revokeBound is the users' revoke_ms.
	revokeBound = 5 * time.Second
	// storeAnswer is the usual time of an answer of the users' store, and slowFactor and slowFor
	// the largest dose of platform_slow in the site file vvm-shredline.
	storeAnswer = 4 * time.Millisecond
	slowFactor  = 60
	slowFor     = 4500 * time.Millisecond
	// revokeGap is the time between the keys that are taken away, as in that file.
	revokeGap = 100 * time.Millisecond
)

// configFeed takes three keys away one after the other while the store is slow, and uses them
// later than revoke_ms after the confirmation.
func configFeed(s *stage, trouble bool) (int, error) {
	for range 2 {
		if err := s.addRunner("app", "zone-a", runner.Options{Slots: 6, Queue: 24, Work: 30 * time.Millisecond}); err != nil {
			return cannotRun, err
		}
	}
	s.writeKeys(7, []string{"key-of-before"})
	for i := range 2 {
		h, err := s.addHost(fmt.Sprintf("front-%d", i), fmt.Sprintf("zone-%c", 'a'+i))
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
	late := 0
	for round := range rounds {
		n, err := s.revokeRound(round, trouble)
		if err != nil {
			return cannotRun, err
		}
		late += n
	}
	s.note("requests that ran with a key taken away over revoke_ms before: %d", late)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// rounds is how often three keys are taken away. Whether a poll of the hosts finds two versions at
// once depends on the moment, so each round comes at another one.
const rounds = 4

// revokeRound takes three keys away and counts the requests that run with them too late.
func (s *stage) revokeRound(round int, trouble bool) (late int, err error) {
	var keys []string
	for i := range 4 {
		keys = append(keys, fmt.Sprintf("key-%d-%d", round, i))
	}
	version := uint64(100 * (round + 1))
	s.writeKeys(version, keys)
	s.note("version %d confirmed, with keys %v", version, keys)
	time.Sleep(3 * time.Second)
	for _, h := range s.hosts {
		for _, key := range keys {
			if a := s.send(h, http.MethodGet, "/safe/x", key, "", 1500*time.Millisecond); a.status != http.StatusOK {
				return 0, fmt.Errorf("%s before it is taken away: status %d, %w", key, a.status, a.err)
			}
		}
	}
	s.store.Set(store.Faults{Delay: storeAnswer})
	if trouble {
		s.note("the store's answers take %d times as long, for %s", slowFactor, slowFor)
		s.store.Set(store.Faults{Delay: slowFactor * storeAnswer})
		time.AfterFunc(slowFor, func() { s.store.Set(store.Faults{Delay: storeAnswer}) })
	}
	time.Sleep(time.Second + time.Duration(round)*130*time.Millisecond)
	taken := map[string]time.Time{}
	for i := range 3 {
		version += 4
		s.writeKeys(version, keys[i+1:])
		taken[keys[i]] = time.Now()
		s.note("version %d confirmed: %s is taken away", version, keys[i])
		time.Sleep(revokeGap)
	}
	time.Sleep(time.Until(taken[keys[2]].Add(revokeBound + 500*time.Millisecond)))
	for range 4 {
		for _, h := range s.hosts {
			for i, key := range keys {
				sent := time.Now()
				a := s.send(h, http.MethodGet, "/safe/x", key, "", 1500*time.Millisecond)
				team, ran := s.ran(a.attempt)
				switch {
				case i < 3 && ran:
					late++
					s.note("%s at %s: runs for team %s with %s (status %d), sent %.1f s after the confirmation of the version that took the key away",
						a.attempt, h.name, team, key, a.status, sent.Sub(taken[key]).Seconds())
				case i == 3 && !ran:
					s.note("%s at %s: %s, which is valid, got status %d", a.attempt, h.name, key, a.status)
				}
			}
		}
		time.Sleep(time.Second)
	}
	return late, nil
}

// writeKeys writes a version of the configuration with the keys of the only team.
func (s *stage) writeKeys(version uint64, keys []string) {
	value, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "safe", "host": "app.test", "prefix": "/safe/", "kind": "safe", "timeout_ms": 800, "target_latency_ms": 150,
			"service": "app", "max_attempts": 2, "priority": 2,
		}},
		"services": []any{map[string]any{"name": "app", "max_connections": 110}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "blue", "api_keys": keys, "priority": 0}},
	})
	if err != nil {
		panic(err) // maps of plain values encode
	}
	s.store.Put("op", "", "config", value)
}
