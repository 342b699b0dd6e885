package soak

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/standin/caller"
	"github.com/trefoilchute/trefoilchute/internal/standin/store"
)

const (
	// poisonPartSpan is how long requests with poisonPart are sent in the tests.
	poisonPartSpan = 20 * time.Second
	// leastBystanders is the number of other requests from which their share counts.
	leastBystanders = 20
)

// bystanders sends sound requests that share sharedPart and their key with those with poisonPart for
// a time, at the hosts in turn, and returns their answers in order.
func (w *world) bystanders(t *testing.T, span time.Duration) []caller.Answer {
	var group sync.WaitGroup
	var answers []caller.Answer
	var mu sync.Mutex
	began := time.Now()
	for n := 0; time.Since(began) < span; n++ {
		group.Go(func() {
			c := caller.New(w.hosts[n%len(w.hosts)].address)
			a := c.Do(w.partRequest(fmt.Sprintf("sound-%d", n), sharedPart))
			c.Close()
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
		sleep(t.Context(), otherEvery)
	}
	group.Wait()
	return answers
}

// served counts the answers to requests sent in a span of time, and those of them that are
// complete.
func served(answers []caller.Answer, from, to time.Time) (sent, ok int) {
	for _, a := range answers {
		if a.Began.Before(from) || !a.Began.Before(to) {
			continue
		}
		sent++
		if a.Status == 200 && a.Whole {
			ok++
		}
	}
	return sent, ok
}

// TestPromptPartThatCrashesEndpointsIsRefused guards against requests, no two alike, whose common
// prompt part crashes one endpoint after the other, and against refusing others that share the
// rest of their prompt.
func TestPromptPartThatCrashesEndpointsIsRefused(t *testing.T) {
	g := NewWithT(t)
	w := startWorld(t)
	before := w.bystanders(t, 3*time.Second)
	began := time.Now()
	sentBefore, okBefore := served(before, began.Add(-time.Hour), began)
	done := make(chan []caller.Answer)
	go func() { done <- w.sendPoisonPart(t.Context(), w.hosts, poisonPartSpan) }()
	during := w.bystanders(t, poisonPartSpan)
	codes := map[string]int{}
	for _, a := range <-done {
		codes[fmt.Sprintf("%d/%s", a.Status, a.Header.Get("Trefoilchute-Code"))]++
	}
	var crashes []string
	for _, at := range w.partCrashes {
		crashes = append(crashes, fmt.Sprintf("%.1f", at.Sub(began).Seconds()))
	}
	g.Expect(w.partCrashes).NotTo(BeEmpty())
	calm := w.partCrashes[min(len(w.partCrashes), partCrashesAllowed)-1].Add(2 * calmTime)
	sent, ok := served(during, calm, began.Add(poisonPartSpan))
	t.Logf("engines crashed at %v s; answers with the part %v; others served %d of %d before, %d of %d later than %v after the last crash allowed",
		crashes, codes, okBefore, sentBefore, ok, sent, 2*calmTime)
	g.Expect(w.latePoisonPartRuns()).To(BeNumerically("<=", poisonPartRuns), "requests with the part at engines after it was known")
	g.Expect(min(sent, sentBefore)).To(BeNumerically(">=", leastBystanders))
	g.Expect(2*ok*sentBefore).To(BeNumerically(">=", okBefore*sent), "others that share the key and the first part")
}

// TestPromptPartStaysRefusedWhenHostsAreLost guards against hosts that forget what they know of a part:
// each is killed and started again in turn, or all at once, also if the store was away when the
// part was found.
func TestPromptPartStaysRefusedWhenHostsAreLost(t *testing.T) {
	const known, between, down = 7 * time.Second, 3 * time.Second, 500 * time.Millisecond
	inTurn := func(w *world) {
		for _, h := range w.hosts {
			w.kill(h, down)
			sleep(t.Context(), between-down)
		}
	}
	atOnce := func(w *world) {
		var group sync.WaitGroup
		for _, h := range w.hosts {
			group.Go(func() { w.kill(h, down) })
		}
		group.Wait()
		sleep(t.Context(), 2*between)
	}
	for name, c := range map[string]struct {
		lose func(w *world)
		// away is for how long the store refuses every call from the first request on.
		away time.Duration
	}{
		"in turn":                           {inTurn, 0},
		"at once":                           {atOnce, 0},
		"at once, after the store was away": {atOnce, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			w := startWorld(t)
			if c.away > 0 {
				w.store.Set(store.Faults{Refuse: http.StatusServiceUnavailable})
				time.AfterFunc(c.away, func() { w.store.Set(store.Faults{}) })
			}
			done := make(chan []caller.Answer)
			go func() { done <- w.sendPoisonPart(t.Context(), w.hosts, known+between*time.Duration(len(w.hosts))) }()
			sleep(t.Context(), known)
			w.mu.Lock()
			before := len(w.partCrashes)
			w.mu.Unlock()
			g.Expect(before).To(And(BeNumerically(">", 0), BeNumerically("<=", partCrashesAllowed)))
			c.lose(w)
			answers := <-done
			g.Expect(w.partCrashes).To(HaveLen(before))
			g.Expect(answers[len(answers)-1].Header.Get("Trefoilchute-Code")).To(Equal("209"))
		})
	}
}

// TestPromptPartIsRefusedInEveryRegion guards against a region that learns for itself, at the price of
// its endpoints, what another has found, and against regions that don't add up what they see.
func TestPromptPartIsRefusedInEveryRegion(t *testing.T) {
	t.Run("after another region", func(t *testing.T) {
		t.Parallel()
		g := NewWithT(t)
		w := startWorldIn(t, "north", "north", "south")
		w.sendPoisonPart(t.Context(), w.hosts[:2], 7*time.Second)
		found := len(w.partCrashes)
		g.Expect(found).To(And(BeNumerically(">", 0), BeNumerically("<=", partCrashesAllowed)))
		answers := w.sendPoisonPart(t.Context(), w.hosts[2:], 3*time.Second)
		g.Expect(w.partCrashes).To(HaveLen(found))
		g.Expect(answers[len(answers)-1].Header.Get("Trefoilchute-Code")).To(Equal("209"))
	})
	t.Run("in both at once", func(t *testing.T) {
		t.Parallel()
		g := NewWithT(t)
		w := startWorldIn(t, "north", "north", "south")
		var group sync.WaitGroup
		for _, to := range [][]*host{w.hosts[:2], w.hosts[2:]} {
			group.Go(func() { w.sendPoisonPart(t.Context(), to, poisonPartSpan) })
		}
		group.Wait()
		t.Logf("%d engines crashed", len(w.partCrashes))
		g.Expect(w.latePoisonPartRuns()).To(BeNumerically("<=", poisonPartRuns))
	})
}
