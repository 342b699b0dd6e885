// Package soak runs the real gateway processes before stand-ins on this machine,
// spoils connections, processes, the store and endpoints from outside in overlapping
// series, and checks what callers and endpoints see against what is promised.
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/standin/runner"
	"github.com/trefoilchute/trefoilchute/internal/standin/store"
)

const (
	// hosts, engines and services are the size of a run.
	hosts, engines, services = 3, 3, 2
	// region is where all hosts are, unless a run says otherwise.
	region = "region"
	// firstKeys is how many keys the team has at any time.
	firstKeys = 2
	// revokeBound, drainBound and configBound are the users' bounds for keys that were
	// taken away, endpoints that leave and changes of the configuration.
	revokeBound = 5 * time.Second
	drainBound  = 2 * time.Second
	configBound = 2 * time.Second
	// lossSlack is the users' bound for a request that crosses the end of its
	// connection.
	lossSlack = 200 * time.Millisecond
	// calmTime is how long nothing may have been spoilt for a bound to hold.
	calmTime = 3 * time.Second
	// plainWork is how long a plain request runs.
	plainWork = 20 * time.Millisecond
	// routeTimeout is the routes' timeout.
	routeTimeout = 6 * time.Second
	// beatInterval is the time between two reports of an endpoint.
	beatInterval = 400 * time.Millisecond
)

// server is one endpoint with its proxy.
type server struct {
	id     string
	target string
	runner *runner.Runner
	proxy  *proxy
	// leaves is when it wrote that it leaves; zero: it doesn't.
	leaves time.Time
	beat   int
	born   int64
	// version is that of its software; empty: its row has none.
	version string
}

// spoilt is a span of time in which something was spoilt.
type spoilt struct {
	what     string
	from, to time.Time
	// host is the host that it concerned; empty: all.
	host string
}

// crashMode is how an endpoint ends when a request crashes it, and how it comes back.
type crashMode struct {
	// linger is for how long it still takes connections, and closes them, after it closed
	// those that it had.
	linger time.Duration
	// silent leaves its connections open, without an answer, until it is back.
	silent bool
	// renamed gives it another id, and withoutStart leaves the time of its start out of its row.
	renamed, withoutStart bool
}

// world is one run.
type world struct {
	dir     string
	program string
	rand    *rand.Rand
	store   *store.Server
	hosts   []*host
	stop    chan struct{}
	group   sync.WaitGroup
	// life ends with the faults and the requests.
	life context.Context

	mu      sync.Mutex
	servers []*server
	// all are also those that are gone.
	all    []*server
	spans  []spoilt
	config configuration
	// revoked and keyed hold when each key was taken away and added, added and removed
	// when a route was.
	revoked, keyed map[string]time.Time
	added, removed map[string]time.Time
	// written is the configuration that the operator wrote last, and copies holds the store's content
	// at each of the last reports of endpoints.
	written []byte
	copies  []storeCopy
	// orders holds the operator's other rows by key, nil for one that was removed.
	orders map[string][]byte
	// ready counts the questions in a row that each host has missed.
	ready map[string]int
	// crashMode is set before the run begins.
	crashMode crashMode
	// work is how long a plain request runs at endpoints that start from now on.
	work time.Duration
	// timeout is that of the routes in the configurations written from now on.
	timeout time.Duration
	// version is the software's version of endpoints that are added from now on.
	version string
	// crashes holds when a request ended the endpoint that began to run it.
	crashes []time.Time
	// poisons counts the sendings of that request.
	poisons int
	// partCrashes holds when a prompt part crashed an endpoint, and poisonPartRequests counts
	// the requests sent with that part.
	partCrashes        []time.Time
	poisonPartRequests int
	seen               []observed
	broken             []string
}

// configuration is what the operator has written.
type configuration struct {
	version uint64
	keys    []string
	routes  []string
}

// newWorld starts the store and the endpoints and prepares the hosts.
func newWorld(dir, program string, seed uint64) (*world, error) {
	return newWorldIn(dir, program, seed, slices.Repeat([]string{region}, hosts))
}

// newWorldIn is newWorld with a host in each of some regions.
func newWorldIn(dir, program string, seed uint64, regions []string) (*world, error) {
	return newWorldOf(dir, program, seed, worldOptions{
		regions: regions, work: plainWork, routes: []string{"safe", "unsafe", "stream", "resumable"},
		engines: engines, services: services,
	})
}

// worldOptions describes a run.
type worldOptions struct {
	// regions has the region of each host.
	regions []string
	// settings holds more sections of the hosts' settings.
	settings string
	// work is how long a plain request runs.
	work time.Duration
	// routes are the configuration's routes at the start.
	routes            []string
	engines, services int
	// version is that of the endpoints' software; empty: they have none.
	version string
}

// newWorldOf starts a run.
func newWorldOf(dir, program string, seed uint64, o worldOptions) (*world, error) {
	w := &world{
		dir: dir, program: program, rand: rand.New(rand.NewPCG(seed, 1)), store: store.New(), stop: make(chan struct{}),
		revoked: map[string]time.Time{}, keyed: map[string]time.Time{}, added: map[string]time.Time{}, removed: map[string]time.Time{},
		orders: map[string][]byte{}, ready: map[string]int{}, work: o.work, timeout: routeTimeout, version: o.version,
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.store.NameEra(1)
	go func() { _ = w.store.Serve(ln) }()
	w.config = configuration{routes: o.routes}
	for n := range firstKeys {
		w.config.keys = append(w.config.keys, fmt.Sprintf("key-%d", n))
	}
	w.writeConfiguration()
	for range o.engines {
		if err := w.addServer("llm"); err != nil {
			return nil, err
		}
	}
	for range o.services {
		if err := w.addServer("app"); err != nil {
			return nil, err
		}
	}
	w.group.Add(1)
	go w.beats()
	for i, region := range o.regions {
		h, err := newHost(dir, i, ln.Addr().String(), region, o.settings)
		if err != nil {
			return nil, err
		}
		w.hosts = append(w.hosts, h)
		if err := h.start(program); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// close ends everything that the run started.
func (w *world) close() {
	close(w.stop)
	w.group.Wait()
	for _, h := range w.hosts {
		h.close()
	}
	for _, s := range w.all {
		s.proxy.close()
		_ = s.runner.Close()
	}
	_ = w.store.Close()
}

// fail notes a broken promise.
func (w *world) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

// addServer starts an endpoint and registers it.
func (w *world) addServer(target string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &server{id: fmt.Sprintf("%s-%d", target, len(w.all)), target: target, version: w.version}
	if err := w.begin(s); err != nil {
		return err
	}
	w.servers, w.all = append(w.servers, s), append(w.all, s)
	w.writeServer(s)
	return nil
}

// begin starts the endpoint's process, anew after a crash.
func (w *world) begin(s *server) error {
	r := runner.New(runner.Options{
		ID: s.id, Slots: 8, Queue: 4, Streams: s.target == "llm", EventTime: 15 * time.Millisecond, Work: w.work,
		Poison: poisonBody, Ended: func() { w.poisoned(s) },
		PoisonPart: poisonPart, PartEnded: func() { w.partPoisoned(s) },
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = r.Serve(ln) }()
	p, err := newProxy(ln.Addr().String())
	if err != nil {
		return err
	}
	s.runner, s.proxy, s.born = r, p, time.Now().UnixMilli()
	return nil
}

// writeServer writes an endpoint's row.
func (w *world) writeServer(s *server) {
	state := "ready"
	if !s.leaves.IsZero() {
		state = "draining"
	}
	s.beat++
	row := fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"zone-0","slots":8,"state":%q,"sequence":%d`,
		s.target, s.proxy.address(), state, s.beat)
	if !w.crashMode.withoutStart {
		row = fmt.Appendf(row, `,"born":%d`, s.born)
	}
	if s.version != "" {
		row = fmt.Appendf(row, `,"version":%q`, s.version)
	}
	w.store.Put("servers", "", s.id, append(row, '}'))
}

// beats writes the endpoints' reports.
func (w *world) beats() {
	defer w.group.Done()
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(beatInterval):
		}
		w.mu.Lock()
		for _, s := range w.servers {
			w.writeServer(s)
		}
		w.copies = append(w.copies, storeCopy{at: time.Now(), content: w.store.Copy()})
		w.copies = w.copies[max(0, len(w.copies)-keptCopies):]
		w.mu.Unlock()
	}
}

// writeConfiguration writes the next version.
func (w *world) writeConfiguration() {
	w.config.version += 3
	type route map[string]any
	routes := []route{}
	for _, name := range w.config.routes {
		r := route{
			"name": name, "host": "app.test", "prefix": "/" + name + "/", "kind": "unsafe", "timeout_ms": w.timeout.Milliseconds(),
			"target_latency_ms": 500, "service": "app", "max_attempts": 2,
		}
		switch name {
		case "safe":
			r["kind"] = "safe"
		case "stream", "resumable":
			r["kind"], r["service"], r["session_affinity"], r["gap_aim_ms"] = "streaming", "llm", true, 400
			r["resumable"] = name == "resumable"
		}
		routes = append(routes, r)
	}
	value, err := json.Marshal(map[string]any{
		"version": w.config.version, "routes": routes,
		"services": []any{
			map[string]any{"name": "llm", "max_connections": 100, "engine": map[string]any{"slots": 8, "kv_capacity": 100000, "stride": 7}},
			map[string]any{"name": "app", "max_connections": 100},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "blue", "api_keys": w.config.keys, "priority": 0}},
	})
	if err != nil {
		panic(err) // maps of plain values encode
	}
	w.written = value
	w.store.Put("op", "", "config", value)
}

// spoil notes that something is spoilt from now on and returns what ends that.
func (w *world) spoil(what, host string) func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := len(w.spans)
	w.spans = append(w.spans, spoilt{what: what, host: host, from: time.Now()})
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.spans[at].to = time.Now()
	}
}

// aboutEndpoints are the kinds of spans that leave every host in touch.
var aboutEndpoints = map[string]bool{"endpoint crash": true, "endpoint link": true, "answers lost": true}

// inTouch reports whether no host nor the store was spoilt for a while before a time.
func (w *world) inTouch(at time.Time) bool {
	for _, s := range w.spans {
		if !aboutEndpoints[s.what] && s.from.Before(at) && (s.to.IsZero() || s.to.After(at.Add(-calmTime))) {
			return false
		}
	}
	return true
}

// calm reports whether nothing was spoilt from a while before one time until another,
// but for spans of one kind at a host.
func (w *world) calm(from, to time.Time, but, host string) bool {
	for _, s := range w.spans {
		if s.what == but && s.host == host {
			continue
		}
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from.Add(-calmTime))) {
			return false
		}
	}
	return true
}
