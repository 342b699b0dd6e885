package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/standin/caller"
	"github.com/trefoilchute/trefoilchute/internal/standin/runner"
)

const (
	// callers is how many callers send requests at a time.
	callers = 12
	// callLimit is how long a caller waits: longer than a stream of the stand-ins takes.
	callLimit = 4 * time.Second
	// leastPause and morePause bound the time between two requests of a caller.
	leastPause = 10 * time.Millisecond
	morePause  = 50 * time.Millisecond
	// newConnection, oldKey and oldRoute are the odds, one in so many, that a caller
	// opens a new connection after an answer, or uses a key or a route that was
	// taken away.
	newConnection = 20
	oldKey        = 6
	oldRoute      = 10
	// askInterval is the time between two questions of the balancer to a host, and
	// missesAllowed how many in a row a host may miss before it gets no callers, as
	// on the platform.
	askInterval   = 300 * time.Millisecond
	missesAllowed = 1
	// minPrompt, maxPrompt and maxOutput bound the tokens of a stream's request.
	minPrompt, maxPrompt, maxOutput = 100, 3100, 200
)

// observed is a request with what came back.
type observed struct {
	request caller.Request
	answer  caller.Answer
	route   string
	host    string
}

// balancer keeps which hosts callers are sent to.
func (w *world) balancer(ctx context.Context) {
	defer w.group.Done()
	for ctx.Err() == nil {
		for _, h := range w.hosts {
			ready := h.isReady(ctx)
			w.mu.Lock()
			if ready {
				w.ready[h.name] = 0
			} else {
				w.ready[h.name]++
			}
			w.mu.Unlock()
		}
		select {
		case <-ctx.Done():
		case <-time.After(askInterval):
		}
	}
}

// choose returns a host that callers are sent to: one that missed at most one question,
// or any if there is none.
func (w *world) choose(r *rand.Rand) *host {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*host
	for _, h := range w.hosts {
		if misses, asked := w.ready[h.name]; asked && misses <= missesAllowed {
			list = append(list, h)
		}
	}
	if len(list) == 0 {
		list = w.hosts
	}
	return list[r.IntN(len(list))]
}

// call sends requests until ctx ends, on a connection that it keeps as long as it can.
func (w *world) call(ctx context.Context, id int, seed uint64) {
	defer w.group.Done()
	r := rand.New(rand.NewPCG(seed, uint64(id)+100))
	var c *caller.Caller
	var h *host
	for n := 0; ctx.Err() == nil; n++ {
		if c == nil {
			h = w.choose(r)
			c = caller.New(h.address)
		}
		q, route := w.draw(r, fmt.Sprintf("a%d-%d-%d", seed%1000, id, n))
		a := c.Do(q)
		o := observed{request: q, answer: a, route: route, host: h.name}
		w.judge(&o)
		if a.Err != nil || r.IntN(newConnection) == 0 {
			c.Close()
			c = nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(leastPause + time.Duration(r.Int64N(int64(morePause)))):
		}
	}
	if c != nil {
		c.Close()
	}
}

// draw makes a request.
func (w *world) draw(r *rand.Rand, attempt string) (caller.Request, string) {
	w.mu.Lock()
	routes := w.config.routes
	route := routes[r.IntN(len(routes))]
	key := w.config.keys[r.IntN(len(w.config.keys))]
	for old := range w.revoked {
		if r.IntN(oldKey) == 0 {
			key = old
		}
	}
	for old := range w.removed {
		if r.IntN(oldRoute) == 0 {
			route = old
		}
	}
	w.mu.Unlock()
	q := caller.Request{
		Method: "POST", Host: "app.test", Path: "/" + route + "/" + attempt, Attempt: attempt, Key: key,
		Limit: callLimit, Body: "body of " + attempt,
	}
	switch route {
	case "safe":
		q.Method, q.Body = "GET", ""
	case "stream", "resumable":
		q.PromptTokens, q.MaxTokens = minPrompt+r.IntN(maxPrompt-minPrompt), maxOutput
	}
	return q, route
}

// judge checks an answer by itself and keeps it for the checks across requests.
func (w *world) judge(o *observed) {
	w.checkAnswer(o)
	w.mu.Lock()
	w.seen = append(w.seen, *o)
	w.mu.Unlock()
}

// checkAnswer checks an answer by itself.
func (w *world) checkAnswer(o *observed) {
	a, attempt := &o.answer, o.request.Attempt
	want := runner.Body(attempt)
	if o.route == "stream" || o.route == "resumable" {
		want = runner.Stream(attempt)
	}
	switch {
	case a.Status == 200 && !a.Sealed():
		w.fail("%s: a success without a seal", attempt)
	case a.Status == 200 && a.Whole && a.Body != want:
		w.fail("%s at %s: another body than its endpoint's: %.80q", attempt, o.host, a.Body)
	case a.Status == 200 && !strings.HasPrefix(want, a.Body):
		w.fail("%s at %s: pieces of its answer are missing or mixed: %.80q", attempt, o.host, a.Body)
	case a.Status != 0 && a.Sealed() && a.Status != 200 && a.Status != 500:
		w.fail("%s at %s: status %d under an endpoint's seal", attempt, o.host, a.Status)
	case a.Status != 0 && a.Attempt() != attempt && a.Status != 404:
		w.fail("%s at %s: the answer is to %q", attempt, o.host, a.Attempt())
	}
}
