// Package watcher follows the load reports and cache events of the endpoints
// whose pools this host schedules.
package watcher

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

const (
	// loadInterval is the time between two load reports of an endpoint.
	loadInterval = 1 * time.Second
	// callTimeout bounds one question to an endpoint; cache events may be
	// waited for.
	callTimeout = 10 * time.Second
	// retryDelay is the wait after an endpoint didn't answer.
	retryDelay = 1 * time.Second
)

// Watcher follows endpoints. It is safe for concurrent use.
type Watcher struct {
	post   func(control.Event)
	client *fasthttp.Client
	group  conc.WaitGroup

	mu      sync.Mutex
	running map[ident.Endpoint]watch
	closed  bool
}

// watch is one followed endpoint.
type watch struct {
	endpoint resource.Endpoint
	cancel   context.CancelFunc
}

// New returns a watcher that follows nothing yet.
func New(post func(control.Event)) *Watcher {
	return &Watcher{
		post: post,
		client: &fasthttp.Client{
			ReadTimeout: callTimeout, WriteTimeout: callTimeout, MaxIdemponentCallAttempts: 1,
		},
		running: map[ident.Endpoint]watch{},
	}
}

// SetEndpoints follows exactly the model engines of the list. After Close it does
// nothing.
func (w *Watcher) SetEndpoints(list []resource.Endpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.follow(list)
	}
}

// follow follows exactly the model engines of the list. The lock is held.
func (w *Watcher) follow(list []resource.Endpoint) {
	wanted := map[ident.Endpoint]resource.Endpoint{}
	for _, e := range list {
		if e.Type == resource.EndpointEngine {
			wanted[e.Name] = e
		}
	}
	for name, x := range w.running {
		if e, ok := wanted[name]; !ok || e.Address != x.endpoint.Address {
			x.cancel()
			delete(w.running, name)
		}
	}
	for name, e := range wanted {
		if _, ok := w.running[name]; !ok {
			w.start(e)
		}
	}
}

// start follows one endpoint.
func (w *Watcher) start(e resource.Endpoint) {
	ctx, cancel := context.WithCancel(context.Background())
	w.running[e.Name] = watch{endpoint: e, cancel: cancel}
	w.group.Go(func() { w.followLoad(ctx, e) })
	w.group.Go(func() { w.followCache(ctx, e) })
}

// Close stops following and waits for the goroutines.
func (w *Watcher) Close() {
	w.mu.Lock()
	w.follow(nil)
	w.closed = true
	w.mu.Unlock()
	w.group.Wait()
	w.client.CloseIdleConnections()
}

// followLoad asks for load reports until ctx ends.
func (w *Watcher) followLoad(ctx context.Context, e resource.Endpoint) {
	for sleep(ctx, loadInterval) {
		var load engine.Load
		if err := w.get(e, engine.PathLoad, &load); err != nil {
			continue
		}
		w.post(control.EndpointObserved{Pool: e.Pool(), Event: pool.LoadReport{
			Endpoint: e.Name, Running: load.Running, Waiting: load.Waiting,
			Age: time.Duration(load.AgeMillis) * time.Millisecond,
		}})
	}
}

// followCache asks for cache events until ctx ends.
func (w *Watcher) followCache(ctx context.Context, e resource.Endpoint) {
	var after uint64
	boot := ""
	for ctx.Err() == nil {
		var page engine.CacheEvents
		path := engine.PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
		if err := w.get(e, path, &page); err != nil {
			sleep(ctx, retryDelay)
			continue
		}
		if page.Boot != boot {
			boot, after = page.Boot, 0
			w.post(control.EndpointObserved{Pool: e.Pool(), Event: pool.CacheEvent{Endpoint: e.Name, Gap: true}})
		}
		after = w.report(e, page.Events, after)
		if len(page.Events) == 0 {
			sleep(ctx, retryDelay)
		}
	}
}

// report posts cache events, with a gap where sequence numbers are missing, and
// returns the last sequence number.
func (w *Watcher) report(e resource.Endpoint, events []engine.CacheEvent, after uint64) uint64 {
	for _, x := range events {
		w.post(control.EndpointObserved{Pool: e.Pool(), Event: pool.CacheEvent{
			Endpoint: e.Name, Stored: x.Stored, Evicted: x.Evicted, Gap: x.Seq != after+1,
		}})
		after = x.Seq
	}
	return after
}

// get asks an endpoint for a JSON document.
func (w *Watcher) get(e resource.Endpoint, path string, into any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + e.Address + path)
	if err := w.client.DoTimeout(req, resp, callTimeout); err != nil {
		return errors.Wrap(err, "watcher: ask")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("watcher: status %d", resp.StatusCode())
	}
	return errors.Wrap(json.Unmarshal(resp.Body(), into), "watcher: answer")
}

// sleep waits and reports whether ctx still runs.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
