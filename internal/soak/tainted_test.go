package soak

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/standin/caller"
)

const (
	// taintedSpan is how long requests with poisonPart are sent in the tests.
	taintedSpan = 20 * time.Second
	// leastBystanders is the number of other requests from which their share counts.
	leastBystanders = 20
)

// bystanders sends sound requests that share sharedPart and their key with the tainted ones for
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
	go func() { done <- w.sendTainted(t.Context(), w.hosts, taintedSpan) }()
	during := w.bystanders(t, taintedSpan)
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
	sent, ok := served(during, calm, began.Add(taintedSpan))
	t.Logf("engines crashed at %v s; answers with the part %v; others served %d of %d before, %d of %d later than %v after the last crash allowed",
		crashes, codes, okBefore, sentBefore, ok, sent, 2*calmTime)
	g.Expect(w.lateTainted()).To(BeNumerically("<=", taintedAllowed), "requests with the part at engines after it was known")
	g.Expect(min(sent, sentBefore)).To(BeNumerically(">=", leastBystanders))
	g.Expect(2*ok*sentBefore).To(BeNumerically(">=", okBefore*sent), "others that share the key and the first part")
}
