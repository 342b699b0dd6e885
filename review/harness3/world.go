package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// world is a small deployment: hosts, a store, runners and callers.
type world struct {
	dir     string
	record  *record
	store   *store
	hosts   []*host
	runners []*runner
	// links holds the proxies between two hosts of different failure domains, by both names.
	links map[[2]string]*proxy
	// trouble is false if the case runs without its disruption.
	trouble bool
	config  config
	callers sync.WaitGroup
}

// config is the operator's configuration.
type config struct {
	Version  int              `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]int   `json:"limits"`
	Tenants  []map[string]any `json:"tenants"`
}

func newWorld() (*world, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	return &world{
		dir: dir, record: newRecord(), store: newStore(), links: map[[2]string]*proxy{}, trouble: os.Getenv("TROUBLE") != "0",
		config: config{
			Version: 3,
			Limits:  map[string]int{"max_header_bytes": 32768, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
		},
	}, nil
}

// close ends all processes.
func (w *world) close() {
	for _, h := range w.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		h.wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// publish writes the configuration.
func (w *world) publish() {
	value, err := json.Marshal(w.config)
	if err == nil {
		w.store.put("op", "config", value)
	}
}

// service adds a service of model runners in a zone, and its route.
func (w *world) service(name, zone string, runners int) error {
	known := slices.ContainsFunc(w.config.Services, func(s map[string]any) bool { return s["name"] == name })
	if !known {
		w.config.Services = append(w.config.Services, map[string]any{
			"name": name, "max_connections": 300, "health_path": "/health",
			"engine": map[string]any{"slots": runnerSlots, "kv_capacity": 771464, "stride": 7},
		})
		w.config.Routes = append(w.config.Routes, map[string]any{
			"name": name, "host": "app.example", "prefix": "/" + name + "/", "kind": "streaming", "service": name, "timeout_ms": 12000,
			"target_latency_ms": 600, "gap_aim_ms": 400, "max_attempts": 1, "priority": 1, "session_affinity": true,
		})
	}
	for range runners {
		r, err := newRunner(w.store, w.record, fmt.Sprintf("i-%s-%d", name, len(w.runners)), name, nextIP(), zone)
		if err != nil {
			return err
		}
		w.runners = append(w.runners, r)
	}
	return nil
}

// start starts hosts in some zones, all at the same time. Between hosts of different zones
// stand proxies.
func (w *world) start(zones ...string) error {
	views := map[string]*view{}
	count := map[string]int{}
	for _, zone := range zones {
		count[zone]++
		h, err := newHost(fmt.Sprintf("front-%s-%d", zone, count[zone]), zone)
		if err != nil {
			return err
		}
		if views[zone] == nil {
			if views[zone], err = w.store.serve(nextIP()); err != nil {
				return err
			}
		}
		h.storeAt = views[zone].listener.Addr().String()
		w.hosts = append(w.hosts, h)
	}
	for _, from := range w.hosts {
		for _, to := range w.hosts {
			if from.zone == to.zone {
				continue
			}
			p, err := newProxy(nextIP(), to.peer)
			if err != nil {
				return err
			}
			// All hosts of a zone see the address of the same proxy.
			w.links[[2]string{from.name, to.name}] = p
			views[from.zone].replace[to.peer] = p.address()
		}
	}
	for _, h := range w.hosts {
		if err := h.render(w.dir); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
	}
	return waitReady(w.hosts...)
}

// cut cuts two hosts off from each other, or heals that.
func (w *world) cut(a, b *host, cut bool) {
	w.links[[2]string{a.name, b.name}].setCut(cut)
	w.links[[2]string{b.name, a.name}].setCut(cut)
}

// attempts counts the requests of all callers.
var attempts atomic.Int64

// request describes what a caller sends.
type request struct {
	host          *host
	method, path  string
	team, key     string
	prompt, reply int
	timeout       time.Duration
}

// client sends the callers' requests, on kept channels.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}

// send sends a request and records it with its answer.
func (w *world) send(x request) *sent {
	id := fmt.Sprintf("%016x", attempts.Add(1))
	s := &sent{attempt: id, host: x.host.name, path: x.path, team: x.team, tokens: x.prompt + x.reply, at: time.Now()}
	w.record.add(s)
	ctx, cancel := context.WithTimeout(context.Background(), x.timeout)
	defer cancel()
	var body io.Reader
	if x.method == http.MethodPost {
		body = bytes.NewReader(bytes.Repeat([]byte("x"), 600))
	}
	req, err := http.NewRequestWithContext(ctx, x.method, "http://"+x.host.front+x.path, body)
	if err != nil {
		w.record.answered(s, 0, false, err.Error())
		return s
	}
	req.Host = "app.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(x.timeout.Milliseconds()))
	req.Header.Set("Credential", x.key)
	if x.prompt > 0 {
		req.Header.Set("Model", "m")
		req.Header.Set("Token-Usage", fmt.Sprintf("%d,%d", x.prompt, x.reply))
		req.Header.Set("Prompt-Prefix", fmt.Sprintf("5c1e07a2:60,%s:%d", id, x.prompt-60))
	}
	resp, err := client.Do(req)
	if err != nil {
		w.record.answered(s, 0, false, "no answer")
		return s
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	note := "whole"
	if err != nil {
		note = "cut"
	}
	w.record.answered(s, resp.StatusCode, resp.Header.Get("Runner-Seal") != "", note)
	return s
}

// load sends a request at a rate, each by a caller of its own, until a time.
func (w *world) load(x request, perSecond float64, until time.Time) {
	w.callers.Go(func() {
		var each sync.WaitGroup
		start := time.Now()
		for n := 0; ; n++ {
			at := start.Add(time.Duration(float64(n) / perSecond * float64(time.Second)))
			if at.After(until) {
				break
			}
			time.Sleep(time.Until(at))
			each.Go(func() { w.send(x) })
		}
		each.Wait()
	})
}
