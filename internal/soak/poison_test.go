package soak

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/trefoilchute/trefoilchute/internal/standin/caller"
)

const (
	// poisonSpan is how long the request is sent in the test, and calmSpan the last part
	// of it, in which others are to be served.
	poisonSpan, calmSpan = 16 * time.Second, 5 * time.Second
	// otherEvery is the time between two requests of other callers.
	otherEvery = 100 * time.Millisecond
)

// buildProgram builds the program that the hosts run, once for all tests.
var buildProgram = sync.OnceValues(func() (string, error) {
	return gexec.Build("github.com/trefoilchute/trefoilchute/cmd/trefoilchute")
})

// TestMain removes the program after the tests.
func TestMain(m *testing.M) {
	code := m.Run()
	gexec.CleanupBuildArtifacts()
	os.Exit(code)
}

// startWorld starts the hosts before three endpoints of each kind and waits until they are
// ready.
func startWorld(t *testing.T) *world {
	return startWorldIn(t, region, region, region)
}

// startWorldIn is startWorld with a host in each of some regions.
func startWorldIn(t *testing.T, regions ...string) *world {
	return startWorldWith(t, crashMode{}, regions...)
}

// startWorldWith is startWorldIn with endpoints that crash in some mode.
func startWorldWith(t *testing.T, mode crashMode, regions ...string) *world {
	g := NewWithT(t)
	program, err := buildProgram()
	g.Expect(err).NotTo(HaveOccurred())
	w, err := newWorldIn(t.ArtifactDir(), program, 1, regions)
	g.Expect(err).NotTo(HaveOccurred())
	w.mu.Lock()
	w.crashMode = mode
	w.mu.Unlock()
	t.Cleanup(w.close)
	g.Expect(w.addServer("app")).To(Succeed())
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(w.hostStates())
		}
	})
	g.Expect(w.awaitReady(t.Context(), startTime)).To(BeTrue())
	return w
}

// maxLoggedBytes bounds what is shown of a host's log.
const maxLoggedBytes = 4 << 10

// hostStates describes the hosts for a failure, with the start of their logs.
func (w *world) hostStates() string {
	var b strings.Builder
	for _, h := range w.hosts {
		log, err := os.ReadFile(h.log.Name())
		fmt.Fprintf(&b, "%s: ready %v, ended %v, log error %v\n%s\n", h.name, h.isReady(context.Background()), h.wait(0), err, log[:min(len(log), maxLoggedBytes)])
	}
	return b.String()
}

// TestRequestThatEndsEndpointsIsStopped guards against a request that is sent on and on to
// endpoints which it ends, and against endpoints that stay closed after that.
func TestRequestThatEndsEndpointsIsStopped(t *testing.T) {
	g := NewWithT(t)
	w := startWorld(t)
	done := make(chan []caller.Answer)
	go func() { done <- w.sendPoison(t.Context(), poisonSpan) }()
	began := time.Now()
	sent, served, statuses := 0, 0, map[int]int{}
	for n := 0; time.Since(began) < poisonSpan; n++ {
		c := caller.New(w.hosts[n%len(w.hosts)].address)
		attempt := fmt.Sprintf("other-%d", n)
		a := c.Do(caller.Request{
			Method: "POST", Host: "app.test", Path: "/unsafe/" + attempt, Attempt: attempt,
			Key: w.firstKey(), Limit: callLimit, Body: "body of " + attempt,
		})
		c.Close()
		if a.Began.Sub(began) > poisonSpan-calmSpan {
			sent++
			statuses[a.Status]++
			if a.Status == 200 {
				served++
			}
		}
		sleep(t.Context(), otherEvery)
	}
	var ends []string
	for _, at := range w.crashes {
		ends = append(ends, fmt.Sprintf("%.1f", at.Sub(began).Seconds()))
	}
	refused := map[int]int{}
	for _, a := range <-done {
		refused[a.Status]++
	}
	t.Logf("endpoints ended at %v s; its answers by status %v; others at the end %v", ends, refused, statuses)
	g.Expect(w.lateRuns()).To(BeNumerically("<=", poisonRuns), "runs of the request after it was known")
	g.Expect(served).To(Equal(sent), "other callers, with every endpoint back")
}

// TestRequestIsStoppedHoweverItsEndpointsEnd guards against a verdict that rests on how an endpoint
// ends: the request is sent three times a second whatever becomes of it, among a few others.
func TestRequestIsStoppedHoweverItsEndpointsEnd(t *testing.T) {
	const interval = time.Second / 3
	for name, mode := range map[string]crashMode{
		"at once":                            {},
		"its listener last":                  {linger: 5 * time.Millisecond},
		"its listener last and withoutStart": {linger: 5 * time.Millisecond, withoutStart: true},
		"silent":                             {silent: true},
		"silent and renamed":                 {silent: true, renamed: true},
		"silent and withoutStart":            {silent: true, withoutStart: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			w := startWorldWith(t, mode, region, region, region)
			began := time.Now()
			var group sync.WaitGroup
			var others []caller.Answer
			var mu sync.Mutex
			for n := 0; time.Since(began) < poisonSpan; n++ {
				address := w.hosts[n%len(w.hosts)].address
				group.Go(func() { w.callOnce(address, fmt.Sprintf("poison-%d", n), "/unsafe/poison", poisonBody) })
				group.Go(func() {
					attempt := fmt.Sprintf("other-%d", n)
					a := w.callOnce(address, attempt, "/unsafe/"+attempt, "body of "+attempt)
					mu.Lock()
					defer mu.Unlock()
					others = append(others, a)
				})
				sleep(t.Context(), interval)
			}
			group.Wait()
			arrivals, late := w.poisonArrivals(began)
			sent, ok := served(others, time.Time{}, time.Now())
			t.Logf("the request came to endpoints at %v s; others served %d of %d", arrivals, ok, sent)
			g.Expect(late).To(BeNumerically("<=", poisonRuns))
		})
	}
}

// callOnce sends a request on a connection of its own.
func (w *world) callOnce(address, attempt, path, body string) caller.Answer {
	c := caller.New(address)
	defer c.Close()
	return c.Do(caller.Request{
		Method: "POST", Host: "app.test", Path: path, Attempt: attempt, Key: w.firstKey(), Limit: callLimit, Body: body,
	})
}

// poisonArrivals returns when the request came to endpoints, in seconds, and how often it did later
// than calmTime after it had ended the last one that it may.
func (w *world) poisonArrivals(began time.Time) (seconds []string, late int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.all {
		for _, a := range s.runner.Arrivals() {
			if !strings.HasPrefix(a.Attempt, "poison-") {
				continue
			}
			seconds = append(seconds, fmt.Sprintf("%04.1f", a.At.Sub(began).Seconds()))
			if len(w.crashes) >= poisonCrashes && a.At.Sub(w.crashes[poisonCrashes-1]) > calmTime {
				late++
			}
		}
	}
	slices.Sort(seconds)
	return seconds, late
}

// TestRequestThatEndsEndpointsStaysRefusedWhenHostsAreLost guards against hosts that forget
// it: each is killed and started again in turn, and all at once, while it is sent on.
func TestRequestThatEndsEndpointsStaysRefusedWhenHostsAreLost(t *testing.T) {
	const known, between, down = 7 * time.Second, 3 * time.Second, 500 * time.Millisecond
	for name, lose := range map[string]func(w *world){
		"in turn": func(w *world) {
			for _, h := range w.hosts {
				w.kill(h, down)
				sleep(t.Context(), between-down)
			}
		},
		"at once": func(w *world) {
			var group sync.WaitGroup
			for _, h := range w.hosts {
				group.Go(func() { w.kill(h, down) })
			}
			group.Wait()
			sleep(t.Context(), 2*between)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := startWorld(t)
			done := make(chan []caller.Answer)
			go func() { done <- w.sendPoison(t.Context(), known+between*time.Duration(len(w.hosts))) }()
			sleep(t.Context(), known)
			w.mu.Lock()
			before := len(w.crashes)
			w.mu.Unlock()
			g.Expect(before).To(BeNumerically(">=", poisonCrashes))
			lose(w)
			<-done
			g.Expect(w.crashes).To(HaveLen(before))
		})
	}
}

// TestRequestThatEndsEndpointsIsRefusedInEveryRegion guards against a region that learns for
// itself, at the price of its endpoints, what another has found.
func TestRequestThatEndsEndpointsIsRefusedInEveryRegion(t *testing.T) {
	g := NewWithT(t)
	w := startWorldIn(t, "north", "north", "south")
	north, south := w.hosts[:2], w.hosts[2:]
	w.sendPoisonTo(t.Context(), north, 7*time.Second)
	found := len(w.crashes)
	g.Expect(found).To(BeNumerically(">=", poisonCrashes))
	answers := w.sendPoisonTo(t.Context(), south, 3*time.Second)
	g.Expect(w.crashes).To(HaveLen(found))
	g.Expect(answers[len(answers)-1].Header.Get("Trefoilchute-Code")).To(Equal("209"))
}
