package soak

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/standin/caller"
)

// loadCallers is how many callers load sends requests of.
const loadCallers = 10

// load sends requests of several callers to the plain service for a time.
func (w *world) load(t *testing.T, span time.Duration) {
	var group sync.WaitGroup
	until := time.Now().Add(span)
	for id := range loadCallers {
		group.Go(func() {
			h := w.hosts[id%len(w.hosts)]
			c := caller.New(h.address)
			defer c.Close()
			for n := 0; time.Now().Before(until); n++ {
				attempt := fmt.Sprintf("load-%d-%d-%d", until.UnixMilli(), id, n)
				q := caller.Request{
					Method: "POST", Host: "app.test", Path: "/unsafe/" + attempt, Attempt: attempt,
					Key: w.firstKey(), Limit: callLimit, Body: "body of " + attempt,
				}
				o := observed{request: q, answer: c.Do(q), route: "unsafe", host: h.name}
				w.judge(&o)
				sleep(t.Context(), otherEvery)
			}
		})
	}
	group.Wait()
}

// busiest returns the endpoint of a target that has run most.
func (w *world) busiest(target string) *server {
	var most *server
	for _, s := range w.servers {
		if s.target == target && (most == nil || len(s.runner.Runs()) > len(most.runner.Runs())) {
			most = s
		}
	}
	return most
}

// unserved lists the requests that were not, with what their callers got.
func (w *world) unserved() []string {
	var list []string
	for i := range w.seen {
		o := &w.seen[i]
		if a := &o.answer; a.Status != 200 || !a.Whole {
			list = append(list, fmt.Sprintf("%s at %s: %d %s %v, %v after %v", o.request.Attempt, o.host,
				a.Status, a.Header.Get("Trefoilchute-Code"), a.Err, a.Ended.Sub(a.Began), a.Began.Format("05.000")))
		}
	}
	return list
}

// TestEndpointThatSaysItLeavesIsLeftAlone guards against requests to an endpoint that says
// in its answers that it leaves while its entry says ready.
func TestEndpointThatSaysItLeavesIsLeftAlone(t *testing.T) {
	g := NewWithT(t)
	w := startWorld(t)
	w.load(t, time.Second)
	leaving := w.busiest("app")
	leaving.runner.Leave()
	w.load(t, 5*time.Second)
	g.Expect(firstSaid(leaving, w.requests())).NotTo(BeEmpty(), "a host has passed it on")
	w.check()
	g.Expect(w.broken).To(BeEmpty())
	g.Expect(w.unserved()).To(BeEmpty(), "the others serve all")
}

// TestEndpointThatAsksToWaitIsLeftAlone guards against requests to an endpoint that turned
// one away with a time, from the host that sent it.
func TestEndpointThatAsksToWaitIsLeftAlone(t *testing.T) {
	g := NewWithT(t)
	w := startWorld(t)
	w.load(t, time.Second)
	asks := w.busiest("app")
	asks.runner.TurnAway(len(w.hosts), 3*time.Second)
	w.load(t, 5*time.Second)
	g.Expect(asks.runner.TurnedAway()).NotTo(BeEmpty())
	w.check()
	g.Expect(w.broken).To(BeEmpty())
	g.Expect(w.unserved()).To(BeEmpty(), "the others serve all")
}
