package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// heartbeat is the time between two reports of a runner to the store.
	heartbeat = 1200 * time.Millisecond
	// runnerSlots is the number of requests that a runner runs at once.
	runnerSlots = 10
	// runnerQueue is the number of requests that wait at a runner.
	runnerQueue = 60
	// eventTime is the time between two events, and shortStream the number of events of a short stream.
	eventTime, shortStream = 20 * time.Millisecond, 4
)

// run is the begin of a run.
type run struct {
	at      time.Time
	runner  string
	attempt string
}

// runner is a stand-in for a model runner.
type runner struct {
	id, service, address, zone string
	// events is the number of events of a stream, and prefill the time to the first of them.
	events, prefill atomic.Int64
	born            int64
	server          *http.Server
	// down is set while the runner does not run.
	down    bool
	record  *record
	slots   chan struct{}
	waiting atomic.Int64

	mu       sync.Mutex
	sequence int
}

// newRunner starts a runner and lets it report to the store.
func newRunner(s *store, r *record, id, service, ip, zone string) (*runner, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	x := &runner{
		id: id, service: service, address: ln.Addr().String(), zone: zone,
		record: r, slots: make(chan struct{}, runnerSlots),
	}
	x.events.Store(shortStream)
	x.serve(ln)
	x.report(s)
	go func() {
		for {
			time.Sleep(heartbeat)
			x.report(s)
		}
	}()
	return x, nil
}

// serve begins a lifetime.
func (x *runner) serve(ln net.Listener) {
	server := &http.Server{Handler: x, ReadHeaderTimeout: 5 * time.Second}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.server, x.down, x.born = server, false, time.Now().UnixMilli()
	go func() { _ = server.Serve(ln) }()
}

// crash ends the runner, and starts it again after a time under the same id.
func (x *runner) crash(s *store, after time.Duration) {
	x.mu.Lock()
	x.down = true
	_ = x.server.Close()
	x.mu.Unlock()
	time.Sleep(after)
	ln, err := net.Listen("tcp", x.address)
	if err != nil {
		x.record.notef("%s can't start again: %v", x.id, err)
		return
	}
	x.serve(ln)
	x.report(s)
}

// report writes the runner's row.
func (x *runner) report(s *store) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.down {
		return
	}
	x.sequence++
	value, err := json.Marshal(map[string]any{
		"service": x.service, "address": x.address, "zone": x.zone, "version": "1", "slots": runnerSlots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": x.sequence, "born": x.born,
	})
	if err == nil {
		s.put("servers", x.id, value)
	}
}

// ServeHTTP implements http.Handler.
func (x *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	h := w.Header()
	h.Set("Runner-Id", x.id)
	h.Set("Runner-Load", fmt.Sprintf("%d,%d,%d", len(x.slots), x.waiting.Load(), runnerSlots))
	if r.URL.Path == "/health" {
		return
	}
	h.Set("Attempt-Id", attempt)
	_, err := io.Copy(io.Discard, r.Body)
	switch {
	case err != nil:
		return
	case attempt == "":
		x.refuse(w, http.StatusBadRequest)
		return
	case r.Header.Get("Expect-Runner") != "" && r.Header.Get("Expect-Runner") != x.id:
		x.refuse(w, http.StatusMisdirectedRequest)
		return
	case x.waiting.Load() >= runnerQueue:
		x.refuse(w, http.StatusServiceUnavailable)
		return
	}
	x.waiting.Add(1)
	select {
	case x.slots <- struct{}{}:
		x.waiting.Add(-1)
		defer func() { <-x.slots }()
	case <-r.Context().Done():
		x.waiting.Add(-1)
		return
	}
	x.record.ran(run{time.Now(), x.id, attempt})
	h.Set("Runner-Seal", x.id+"."+attempt)
	time.Sleep(time.Duration(x.prefill.Load()))
	h.Set("Content-Type", "text/event-stream")
	for i := range x.events.Load() {
		time.Sleep(eventTime)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s.%d\n\n", i+1, attempt, i+1); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// refuse answers that the request was not run.
func (x *runner) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}
