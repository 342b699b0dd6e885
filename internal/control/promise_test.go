package control

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
	"github.com/trefoilchute/trefoilchute/internal/system/keyledger"
)

// settleTime is enough for the hosts to meet and take their pools over.
const settleTime = 5 * time.Second

// chat is a request to the model.
func chat() custody.Arrival {
	return custody.Arrival{
		Team: "clerks", Target: "model", PromptTokens: 100, MaxTokens: 10, Idempotent: true,
	}
}

// oneTime is a request that may run once.
func oneTime(key string) custody.Arrival {
	return custody.Arrival{
		Team: "clerks", Target: "orders", Key: key, KeyHash: xxhash.Sum64String(key), Fingerprint: 1,
	}
}

var hostNames = []ident.Host{"a1", "a2", "b1", "b2", "c1", "c2"}

// TestServesWithoutFailures checks the world itself: all is answered whole.
func TestServesWithoutFailures(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1)
	w.runUntil(settleTime)
	for i := range 60 {
		w.send(hostNames[i%6], chat(), time.Minute)
		w.send(hostNames[i%6], oneTime(fmt.Sprint("key", i/3)), time.Minute)
		w.runUntil(w.now + 50*time.Millisecond)
	}
	w.runUntil(w.now + giveUp)
	g.Expect(w.faults()).To(BeEmpty())
	g.Expect(w.outcomes).To(Equal(map[result.Code]int{result.OK: 120}))
}

// failure is something that goes wrong for a time.
type failure struct {
	name  string
	begin func(*world, ident.Host)
	end   func(*world, ident.Host)
}

var failures = []failure{
	{"kill", (*world).kill, (*world).replace},
	{"freeze", (*world).freeze, (*world).thaw},
	{
		"cut",
		func(w *world, h ident.Host) { w.split(w.hosts[h].domain, true) },
		func(w *world, h ident.Host) { w.split(w.hosts[h].domain, false) },
	},
	{
		"platform down",
		func(w *world, _ ident.Host) { w.table.down = true },
		func(w *world, _ ident.Host) { w.table.down = false },
	},
	{
		"platform cut off",
		func(w *world, h ident.Host) { w.table.cut = map[ident.Domain]bool{w.hosts[h].domain: true} },
		func(w *world, _ ident.Host) { w.table.cut = nil },
	},
	{
		"answers lost",
		func(w *world, _ ident.Host) { w.table.lossy = 0.5 },
		func(w *world, _ ident.Host) { w.table.lossy = 0 },
	},
	{
		"messages lost",
		func(w *world, _ ident.Host) { w.loss = 0.3 },
		func(w *world, _ ident.Host) { w.loss = 0 },
	},
	{
		"messages late",
		func(w *world, _ ident.Host) { w.lag = 0.3 },
		func(w *world, _ ident.Host) { w.lag = 0 },
	},
	{
		"endpoints down",
		func(w *world, h ident.Host) { w.setDown(w.hosts[h].domain, true) },
		func(w *world, h ident.Host) { w.setDown(w.hosts[h].domain, false) },
	},
}

// replace starts a dead host's successor of the same name.
func (w *world) replace(name ident.Host) {
	if w.hosts[name].dead {
		w.boot(name, w.hosts[name].domain, uint64(w.now.Milliseconds())+2)
	}
}

// setDown takes the endpoints of a domain down or up.
func (w *world) setDown(d ident.Domain, down bool) {
	for _, e := range w.endpoints {
		if e.domain == d {
			e.down = down
		}
	}
}

// TestPromisesUnderFailures draws failures that overlap and requests that are
// sent again elsewhere, and checks what must always hold.
func TestPromisesUnderFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(rt, "seed"))
		w.runUntil(settleTime)
		for range rapid.IntRange(1, 4).Draw(rt, "failures") {
			w.drawFailure(rt)
		}
		for i := range rapid.IntRange(10, 40).Draw(rt, "requests") {
			a := chat()
			if rapid.Bool().Draw(rt, "once") {
				a = oneTime(fmt.Sprint("key", i/3))
				a.FirstAttempt = i%3 == 0
			}
			w.drawRequest(rt, a)
		}
		w.check(rt)
	})
}

// TestIdempotentKeysUnderOneFailure draws one failure and resends of requests
// with keys. The ledger in memory promises to survive that much: no key runs
// twice.
func TestIdempotentKeysUnderOneFailure(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(rt, "seed"))
		w.runUntil(settleTime + keyledger.PartitionSettleTime)
		w.drawFailure(rt)
		for i := range rapid.IntRange(10, 40).Draw(rt, "requests") {
			a := chat()
			a.Key = fmt.Sprint("key", i/3)
			a.Fingerprint = 1
			w.drawRequest(rt, a)
		}
		w.check(rt)
	})
}

// drawFailure plans a failure.
func (w *world) drawFailure(rt *rapid.T) {
	w.drawFailureOf(rt, failures)
}

// drawFailureOf plans one of the given failures.
func (w *world) drawFailureOf(rt *rapid.T, among []failure) {
	f := rapid.SampledFrom(among).Draw(rt, "failure")
	host := rapid.SampledFrom(hostNames).Draw(rt, "host")
	begin := w.now + drawTime(rt, "begin", 6*time.Second)
	end := begin + drawTime(rt, "length", 12*time.Second)
	w.at(begin, func() { f.begin(w, host) })
	w.at(end, func() { f.end(w, host) })
}

// drawRequest plans a request and the moment when its caller leaves.
func (w *world) drawRequest(rt *rapid.T, a custody.Arrival) {
	at := w.now + drawTime(rt, "at", 12*time.Second)
	host := rapid.SampledFrom(hostNames).Draw(rt, "to")
	within := 500*time.Millisecond + drawTime(rt, "within", 20*time.Second)
	leaves := at + drawTime(rt, "leaves", 20*time.Second)
	w.at(at, func() {
		r := w.send(host, a, within)
		w.at(leaves, func() { w.leave(r) })
	})
}

// check lets all end and checks the promises.
func (w *world) check(rt *rapid.T) {
	w.runUntil(w.now + giveUp)
	w.checkRecovered(rt)
	if faults := w.faults(); len(faults) > 0 {
		rt.Fatalf("%v", faults)
	}
}

// leave lets a caller close its connection.
func (w *world) leave(r *request) {
	if r.finals == 0 && !r.lost {
		w.post(r.host, CallerLeft{ID: r.arrival.ID}, 0)
	}
}

// checkRecovered checks that every host serves whole answers when all failures
// are over.
func (w *world) checkRecovered(rt *rapid.T) {
	var sent []*request
	for i, host := range hostNames {
		// A body that was in flight at two losses of endpoints is quarantined
		// for good, so these have bodies of their own.
		plain, once := chat(), oneTime("after "+string(host))
		plain.Fingerprint = uint64(100 + 2*i)
		once.Fingerprint = plain.Fingerprint + 1
		sent = append(sent, w.send(host, plain, time.Minute), w.send(host, once, time.Minute))
	}
	w.runUntil(w.now + giveUp)
	for _, r := range sent {
		if r.code != result.OK {
			rt.Fatalf("after all failures %s to %s was answered %s: %s",
				r.arrival.ID, r.arrival.Target, r.code, r.body)
		}
	}
}

// drawTime draws a time in whole milliseconds.
func drawTime(rt *rapid.T, label string, most time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(0, int(most.Milliseconds())).Draw(rt, label)) * time.Millisecond
}

// leaveBound is the stated time after which an endpoint that is to leave gets no
// new work: a poll of the revision, its spread, and the life of a grant, each
// with room for lost and late messages.
const leaveBound = 8 * time.Second

// TestLeavingUnderFailures draws failures that leave the hosts in reach of the
// platform or of each other, and checks that an endpoint that is to leave gets no
// new work after the bound, also where the change came while a host was frozen.
func TestLeavingUnderFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(rt, "seed"))
		w.runUntil(settleTime)
		for range rapid.IntRange(1, 3).Draw(rt, "failures") {
			w.drawFailureOf(rt, withoutCuts())
		}
		changed := w.now + drawTime(rt, "changed", 8*time.Second)
		w.at(changed, func() { w.drain("engine-a1") })
		for range 80 {
			w.drawRequest(rt, chat())
		}
		for i := range 40 {
			w.at(changed+time.Duration(i)*500*time.Millisecond, func() {
				w.send(hostNames[i%2], chat(), 20*time.Second)
			})
		}
		w.check(rt)
		if last := w.endpoints["engine-a1"].last; last > changed+leaveBound {
			rt.Fatalf("new work %s after the change", last-changed)
		}
	})
}

// withoutCuts lists the failures that cut no host off from all news.
func withoutCuts() []failure {
	return slices.DeleteFunc(slices.Clone(failures), func(f failure) bool {
		return f.name == "cut" || f.name == "platform down" || f.name == "platform cut off"
	})
}

// drain declares that an endpoint is to leave.
func (w *world) drain(name string) {
	snap, err := resource.NewStore(&w.table).Load(context.Background())
	if err != nil {
		panic(err)
	}
	e := snap.Endpoints[name]
	e.State = resource.EndpointDrain
	w.apply(resource.Item{Kind: resource.KindEndpoint, Name: name, Spec: e})
}
