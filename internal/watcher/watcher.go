// Package watcher polls the load reports and cache events of the endpoints whose
// pools are scheduled by this host.
package watcher

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/supervise"
)

const (
	// loadInterval is the time between two load requests to an endpoint.
	loadInterval = 1 * time.Second
	// requestTimeout limits one request to an endpoint. It includes the time
	// that an endpoint holds back its response until there are cache events.
	requestTimeout = 10 * time.Second
	// retryDelay is the wait after a failed request or one that returned no
	// cache events.
	retryDelay = 1 * time.Second
	// maxResponseBytes limits the body of a response.
	maxResponseBytes = 8 << 20
)

// Watcher polls endpoints. It is safe for concurrent use.
type Watcher struct {
	post   func(control.Event)
	client *fasthttp.Client
	group  supervise.Group

	mu      sync.Mutex
	watches map[ident.Endpoint]watch
	closed  bool
}

// watch is an endpoint that is being polled.
type watch struct {
	endpoint resource.Endpoint
	cancel   context.CancelFunc
}

// New returns a watcher without endpoints. It posts what it observes with post.
func New(post func(control.Event)) *Watcher {
	return &Watcher{
		post: post,
		client: &fasthttp.Client{
			ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, MaxIdemponentCallAttempts: 1,
			MaxResponseBodySize: maxResponseBytes,
		},
		watches: map[ident.Endpoint]watch{},
	}
}

// SetEndpoints replaces the set of polled endpoints by the model engines in list.
// It has no effect after Close.
func (w *Watcher) SetEndpoints(list []resource.Endpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.follow(list)
	}
}

// follow starts and stops polling so that exactly the model engines in list are
// polled. w.mu must be held.
func (w *Watcher) follow(list []resource.Endpoint) {
	wanted := map[ident.Endpoint]resource.Endpoint{}
	for _, e := range list {
		if e.Type == resource.EndpointEngine {
			wanted[e.Name] = e
		}
	}
	for name, x := range w.watches {
		if e, ok := wanted[name]; !ok || e.Address != x.endpoint.Address {
			x.cancel()
			delete(w.watches, name)
		}
	}
	for name, e := range wanted {
		if _, ok := w.watches[name]; !ok {
			w.start(e)
		}
	}
}

// start begins to poll an endpoint. w.mu must be held.
func (w *Watcher) start(e resource.Endpoint) {
	ctx, cancel := context.WithCancel(context.Background())
	w.watches[e.Name] = watch{endpoint: e, cancel: cancel}
	w.group.Go("load reports", func() { w.followLoad(ctx, e) })
	w.group.Go("cache events", func() { w.followCache(ctx, e) })
}

// Close stops polling and waits for the goroutines to end.
func (w *Watcher) Close() {
	w.mu.Lock()
	w.follow(nil)
	w.closed = true
	w.mu.Unlock()
	w.group.Wait()
	w.client.CloseIdleConnections()
}

// followLoad polls the load reports of an endpoint until ctx is done.
func (w *Watcher) followLoad(ctx context.Context, e resource.Endpoint) {
	for sleep(ctx, loadInterval) {
		var load engine.Load
		if err := w.getJSON(e, engine.PathLoad, &load); err != nil {
			continue
		}
		w.post(control.EndpointObserved{Pool: e.Pool(), Event: pool.LoadReport{
			Endpoint: e.Name, Running: load.Running, Waiting: load.Waiting,
			Age: time.Duration(load.AgeMillis) * time.Millisecond,
		}})
	}
}

// followCache polls the cache events of an endpoint until ctx is done. If the
// engine has restarted, it reports a gap, as sequence numbers begin anew.
func (w *Watcher) followCache(ctx context.Context, e resource.Endpoint) {
	var after uint64
	boot := ""
	for ctx.Err() == nil {
		var page engine.CacheEvents
		path := engine.PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
		if err := w.getJSON(e, path, &page); err != nil {
			sleep(ctx, retryDelay)
			continue
		}
		if page.Boot != boot {
			boot, after = page.Boot, 0
			w.post(control.EndpointObserved{Pool: e.Pool(), Event: pool.CacheEvent{Endpoint: e.Name, Gap: true}})
		}
		after = w.postCacheEvents(e, page.Events, after)
		if len(page.Events) == 0 {
			sleep(ctx, retryDelay)
		}
	}
}

// postCacheEvents posts cache events and returns the last sequence number. It sets
// Gap on an event that doesn't directly follow the one before.
func (w *Watcher) postCacheEvents(e resource.Endpoint, events []engine.CacheEvent, after uint64) uint64 {
	for _, x := range events {
		w.post(control.EndpointObserved{Pool: e.Pool(), Event: pool.CacheEvent{
			Endpoint: e.Name, Stored: x.Stored, Evicted: x.Evicted, Gap: x.Seq != after+1,
		}})
		after = x.Seq
	}
	return after
}

// getJSON requests a JSON document from an endpoint and decodes it into into.
func (w *Watcher) getJSON(e resource.Endpoint, path string, into any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + e.Address + path)
	if err := w.client.DoTimeout(req, resp, requestTimeout); err != nil {
		return errors.Wrap(err, "watcher: request")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Errorf("watcher: unexpected status %d", resp.StatusCode())
	}
	return errors.Wrap(json.Unmarshal(resp.Body(), into), "watcher: decode response")
}

// sleep waits for d. It returns false if ctx is done before.
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
