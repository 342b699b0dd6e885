package control

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system/membership"
)

// takeOverBound is the stated time from the loss of a pool's scheduler to the
// first dispatch under the next one: the detection of its death, with a round of
// probes before it, and the warm-up.
const takeOverBound = membership.DeathTimeout + 2*membership.ProbeInterval + time.Second

// TestTakeOverWithAQueueStanding takes the scheduler of a pool away while
// requests of another host wait in its queue, and checks that each is answered
// whole by one dispatch and how soon the next scheduler grants.
func TestTakeOverWithAQueueStanding(t *testing.T) {
	for _, loss := range []struct {
		name string
		lose func(*world, ident.Host)
	}{
		{"killed", (*world).kill},
		{"frozen", (*world).freeze},
	} {
		t.Run(loss.name, func(t *testing.T) {
			g := NewWithT(t)
			w := newWorld(7)
			w.runUntil(settleTime)
			scheduler := w.schedulerOf(ident.Pool{Target: "model", Domain: "a"})
			other := map[ident.Host]ident.Host{"a1": "a2", "a2": "a1"}[scheduler]
			for i := range 24 {
				a := chat()
				a.Fingerprint = uint64(i + 1)
				w.send(other, a, time.Minute)
			}
			w.runUntil(w.now + 20*time.Millisecond)
			g.Expect(w.dispatched()).To(Equal(8), "all slots of the domain are in use")

			lost := w.now
			loss.lose(w, scheduler)
			w.runUntil(lost + takeOverBound)
			g.Expect(w.dispatched()).To(BeNumerically(">", 8), "the next scheduler grants")
			t.Logf("first dispatch under the next scheduler after %s", w.firstRunAfter(lost)-lost)

			w.runUntil(lost + giveUp)
			w.thaw(scheduler)
			w.runUntil(w.now + giveUp)
			g.Expect(w.faults()).To(BeEmpty())
			g.Expect(w.outcomes).To(Equal(map[result.Code]int{result.OK: 24}), fmt.Sprint(w.outcomes))
		})
	}
}

// schedulerOf returns the host that schedules a pool.
func (w *world) schedulerOf(p ident.Pool) ident.Host {
	host, _ := w.hosts["a1"].core.scheduler(p)
	return host
}

// dispatched returns the number of dispatches so far.
func (w *world) dispatched() int {
	n := 0
	for _, e := range w.endpoints {
		for _, runs := range e.runs {
			n += runs
		}
	}
	return n
}

// firstRunAfter returns when the first request after t was dispatched.
func (w *world) firstRunAfter(t time.Duration) time.Duration {
	first := w.now
	for _, at := range w.runTimes {
		if at > t && at < first {
			first = at
		}
	}
	return first
}

// TestLastHostWakesAlone freezes the only host that is left. While it can't know
// whether others took over it schedules nothing; then it serves again.
func TestLastHostWakesAlone(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(8)
	w.runUntil(settleTime)
	for _, h := range hostNames[1:] {
		w.kill(h)
	}
	w.runUntil(w.now + takeOverBound)
	w.freeze("a1")
	w.runUntil(w.now + 10*time.Second)
	w.thaw("a1")
	for i := range 8 {
		a := chat()
		a.Fingerprint = uint64(i + 1)
		w.send("a1", a, time.Minute)
	}
	g.Expect(w.dispatched()).To(BeZero(), "its view may be stale")
	w.runUntil(w.now + giveUp)
	g.Expect(w.faults()).To(BeEmpty())
	g.Expect(w.outcomes).To(Equal(map[result.Code]int{result.OK: 8}), fmt.Sprint(w.outcomes))
}
