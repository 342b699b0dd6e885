package soak

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/standin/caller"
	"github.com/trefoilchute/trefoilchute/internal/standin/runner"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns a time of a run.
func at(d time.Duration) time.Time { return start.Add(d) }

// newTestWorld returns a world without processes.
func newTestWorld() *world {
	return &world{revoked: map[string]time.Time{}, keyed: map[string]time.Time{}, added: map[string]time.Time{}, removed: map[string]time.Time{}}
}

// seen returns a request on a route with its answer.
func seen(route string, status int, ended time.Duration) *observed {
	o := &observed{request: caller.Request{Attempt: "a", Key: "key-0", Path: "/p", Body: "b"}, route: route, host: "host-0"}
	o.answer = caller.Answer{Status: status, Whole: status == 200, Sent: true, Began: start, Ended: at(ended)}
	if status == 0 {
		o.answer.Err = errors.New("reset")
	}
	return o
}

// TestEachBrokenPromiseOfARequestIsSeen holds the checks against answers that keep what
// is promised and such that don't.
func TestEachBrokenPromiseOfARequestIsSeen(t *testing.T) {
	once := []runner.Run{{Attempt: "a"}}
	twice := []runner.Run{{Attempt: "a"}, {Attempt: "a"}}
	const whole, short = time.Second, 50 * time.Millisecond
	stop := func(w *world) { w.spans = []spoilt{{what: "term", host: "host-0", from: at(-time.Second)}} }
	none := func(*world) {}
	added := func(ago time.Duration) func(*world) { return func(w *world) { w.keyed["key-0"] = at(-ago) } }
	for _, c := range []struct {
		name   string
		world  func(*world)
		seen   *observed
		runs   []runner.Run
		broken int
	}{
		{"served once", none, seen("unsafe", 200, whole), once, 0},
		{"run twice", none, seen("unsafe", 200, whole), twice, 1},
		{"run twice, harmless", none, seen("safe", 200, whole), twice, 0},
		{"resumed", none, seen("resumable", 200, whole), twice, 0},
		{"not run, as was said", none, seen("unsafe", 503, whole), nil, 0},
		{"said not to have run", none, seen("unsafe", 503, whole), once, 1},
		{"answered by nobody", none, seen("safe", 200, whole), nil, 1},
		{"a route that is there", none, seen("safe", 404, whole), nil, 1},
		{"a key that is there", none, seen("safe", 401, whole), nil, 1},
		{"a key that was just added", added(configBound), seen("safe", 401, whole), nil, 0},
		{"a key that was added a while ago", added(2 * configBound), seen("safe", 401, whole), nil, 1},
		{"lost in a planned stop", stop, seen("safe", 0, whole), nil, 1},
		{"crossed the end of its connection", stop, seen("safe", 0, short), nil, 0},
		{"lost without a planned stop", none, seen("safe", 0, whole), nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			w := newTestWorld()
			c.world(w)
			w.checkRequest(c.seen, c.runs)
			g.Expect(w.broken).To(HaveLen(c.broken))
		})
	}
}

// TestEachBrokenPromiseOfARunIsSeen does the same for what endpoints saw.
func TestEachBrokenPromiseOfARunIsSeen(t *testing.T) {
	good := runner.Run{Attempt: "a", Path: "/p", Body: "b", Team: "blue", Began: at(0)}
	changed := func(f func(*runner.Run)) runner.Run {
		r := good
		f(&r)
		return r
	}
	none := func(*world, *server) {}
	for _, c := range []struct {
		name   string
		world  func(*world, *server)
		run    runner.Run
		broken int
	}{
		{"as it was sent", none, good, 0},
		{"another path", none, changed(func(r *runner.Run) { r.Path = "/q" }), 1},
		{"another body", none, changed(func(r *runner.Run) { r.Body = "c" }), 1},
		{"the key passed on", none, changed(func(r *runner.Run) { r.Keyed = true }), 1},
		{"another team", none, changed(func(r *runner.Run) { r.Team = "red" }), 1},
		{"a key just taken away", func(w *world, _ *server) { w.revoked["key-0"] = at(-revokeBound) }, good, 0},
		{"a key taken away", func(w *world, _ *server) { w.revoked["key-0"] = at(-2 * revokeBound) }, good, 1},
		{"a route taken away", func(w *world, _ *server) { w.removed["safe"] = at(-2 * configBound) }, good, 1},
		{"an endpoint that leaves", func(_ *world, s *server) { s.leaves = at(-2 * drainBound) }, good, 1},
		{"an endpoint that leaves unseen", func(w *world, s *server) {
			s.leaves = at(-2 * drainBound)
			w.spans = []spoilt{{what: "store silent", from: at(-2 * drainBound)}}
		}, good, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			w, s := newTestWorld(), &server{id: "app-1"}
			c.world(w, s)
			w.checkRun(s, c.run, seen("safe", 200, time.Second))
			g.Expect(w.broken).To(HaveLen(c.broken))
		})
	}
}

// TestRunsOfARequestThatEndsEndpointsAreCounted counts those by hosts in touch later than a
// while after the third.
func TestRunsOfARequestThatEndsEndpointsAreCounted(t *testing.T) {
	g := NewWithT(t)
	w := newTestWorld()
	for _, s := range []float64{0, 1, 2, 4, 4.9, 5.1, 6, 20, 21} {
		w.crashes = append(w.crashes, at(time.Duration(s*float64(time.Second))))
	}
	g.Expect(w.lateRuns()).To(Equal(4))
	w.spans = []spoilt{{what: "endpoint crash", from: at(0), to: at(time.Minute)}}
	g.Expect(w.lateRuns()).To(Equal(4), "an endpoint's crash is no excuse")
	w.spans = append(w.spans, spoilt{what: "kill", from: at(15 * time.Second), to: at(18 * time.Second)})
	g.Expect(w.lateRuns()).To(Equal(3), "a host was started again 2 s before")
	w.crashes = w.crashes[:2]
	g.Expect(w.lateRuns()).To(BeZero())
}

// TestRequestsToAnEndpointThatAskedToWaitAreSeen holds the check against a host that keeps
// to what an endpoint asked, one that doesn't, and one that was started again.
func TestRequestsToAnEndpointThatAskedToWaitAreSeen(t *testing.T) {
	for _, c := range []struct {
		name   string
		sent   int
		span   string
		broken int
	}{
		{"two more", 2, "", 0},
		{"three more", 3, "", 1},
		{"three more, after a restart", 3, "kill", 0},
		{"three more, beside an endpoint's crash", 3, "endpoint crash", 1},
	} {
		w := newTestWorld()
		r := runner.New(runner.Options{ID: "s", Slots: 1})
		r.TurnAway(1, 2*time.Second)
		requests := map[string]*observed{}
		ask := func(name string) {
			requests[name] = &observed{host: "host-0"}
			r.ServeHTTP(httptest.NewRecorder(), named(name))
		}
		ask("first")
		time.Sleep(turnSlack + 10*time.Millisecond)
		for n := range c.sent {
			ask(string(rune('a' + n)))
		}
		if c.span != "" {
			host := "host-0"
			if c.span == "endpoint crash" {
				host = ""
			}
			w.spans = []spoilt{{what: c.span, host: host, from: time.Now().Add(-100 * time.Millisecond), to: time.Now()}}
		}
		w.checkTurnedAway(&server{id: "s", runner: r}, requests)
		NewWithT(t).Expect(w.broken).To(HaveLen(c.broken), c.name)
	}
}

// named returns a request with a name.
func named(attempt string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "/unsafe/1", http.NoBody)
	r.Header.Set("Attempt-Id", attempt)
	return r
}
