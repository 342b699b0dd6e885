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

// startupTime is long enough for the hosts to discover each other and take over their
// pools.
const startupTime = 5 * time.Second

// chatRequest returns an idempotent request to the model.
func chatRequest() custody.Arrival {
	return custody.Arrival{
		Team: "clerks", Target: "model", PromptTokens: 100, MaxTokens: 10, Idempotent: true,
	}
}

// runOnceRequest returns a non-idempotent request with a key, which may run at most once.
func runOnceRequest(key string) custody.Arrival {
	return custody.Arrival{
		Team: "clerks", Target: "orders", Key: key, KeyHash: xxhash.Sum64String(key), Fingerprint: 1,
	}
}

var hostNames = []ident.Host{"a1", "a2", "b1", "b2", "c1", "c2"}

// TestServesWithoutFailures checks the simulation itself: without failures, every request
// is answered.
func TestServesWithoutFailures(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(1)
	sim.runUntil(startupTime)
	for i := range 60 {
		sim.send(hostNames[i%6], chatRequest(), time.Minute)
		sim.send(hostNames[i%6], runOnceRequest(fmt.Sprint("key", i/3)), time.Minute)
		sim.runUntil(sim.now + 50*time.Millisecond)
	}
	sim.runUntil(sim.now + drainTime)
	g.Expect(sim.violations()).To(BeEmpty())
	g.Expect(sim.outcomes).To(Equal(map[result.Code]int{result.OK: 120}))
}

// failure is a temporary fault that affects a host, its domain or the platform.
type failure struct {
	name  string
	begin func(*simulation, ident.Host)
	end   func(*simulation, ident.Host)
}

var failures = []failure{
	{"kill", (*simulation).kill, (*simulation).restart},
	{"freeze", (*simulation).freeze, (*simulation).thaw},
	{
		"cut",
		func(sim *simulation, h ident.Host) { sim.partition(sim.hosts[h].domain, true) },
		func(sim *simulation, h ident.Host) { sim.partition(sim.hosts[h].domain, false) },
	},
	{
		"platform down",
		func(sim *simulation, _ ident.Host) { sim.table.down = true },
		func(sim *simulation, _ ident.Host) { sim.table.down = false },
	},
	{
		"platform cut off",
		func(sim *simulation, h ident.Host) { sim.table.cut = map[ident.Domain]bool{sim.hosts[h].domain: true} },
		func(sim *simulation, _ ident.Host) { sim.table.cut = nil },
	},
	{
		"answers lost",
		func(sim *simulation, _ ident.Host) { sim.table.lostAnswerShare = 0.5 },
		func(sim *simulation, _ ident.Host) { sim.table.lostAnswerShare = 0 },
	},
	{
		"messages lost",
		func(sim *simulation, _ ident.Host) { sim.loss = 0.3 },
		func(sim *simulation, _ ident.Host) { sim.loss = 0 },
	},
	{
		"messages late",
		func(sim *simulation, _ ident.Host) { sim.lag = 0.3 },
		func(sim *simulation, _ ident.Host) { sim.lag = 0 },
	},
	{
		"endpoints down",
		func(sim *simulation, h ident.Host) { sim.setEndpointsDown(sim.hosts[h].domain, true) },
		func(sim *simulation, h ident.Host) { sim.setEndpointsDown(sim.hosts[h].domain, false) },
	},
}

// restart starts a new process of a dead host under the same name.
func (sim *simulation) restart(name ident.Host) {
	if sim.hosts[name].dead {
		sim.boot(name, sim.hosts[name].domain, uint64(sim.now.Milliseconds())+2)
	}
}

// setEndpointsDown takes the endpoints of a domain down or brings them up.
func (sim *simulation) setEndpointsDown(d ident.Domain, down bool) {
	for _, e := range sim.endpoints {
		if e.domain == d {
			e.down = down
		}
	}
}

// TestGuaranteesHoldUnderFailures draws overlapping failures and requests that are resent
// to other hosts, and checks the guarantees for every request and key.
func TestGuaranteesHoldUnderFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(rt, "seed"))
		sim.runUntil(startupTime)
		for range rapid.IntRange(1, 4).Draw(rt, "failures") {
			sim.drawFailure(rt)
		}
		for i := range rapid.IntRange(10, 40).Draw(rt, "requests") {
			a := chatRequest()
			if rapid.Bool().Draw(rt, "once") {
				a = runOnceRequest(fmt.Sprint("key", i/3))
				a.FirstAttempt = i%3 == 0
			}
			sim.drawRequest(rt, a)
		}
		sim.checkGuarantees(rt)
	})
}

// TestIdempotentKeysUnderOneFailure draws one failure and resent requests with keys. The
// in-memory ledger must survive a single failure: no key runs twice.
func TestIdempotentKeysUnderOneFailure(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(rt, "seed"))
		sim.runUntil(startupTime + keyledger.PartitionSettleTime)
		sim.drawFailure(rt)
		for i := range rapid.IntRange(10, 40).Draw(rt, "requests") {
			a := chatRequest()
			a.Key = fmt.Sprint("key", i/3)
			a.Fingerprint = 1
			sim.drawRequest(rt, a)
		}
		sim.checkGuarantees(rt)
	})
}

// drawFailure schedules a failure.
func (sim *simulation) drawFailure(rt *rapid.T) {
	sim.drawFailureOf(rt, failures)
}

// drawFailureOf schedules one of the given failures.
func (sim *simulation) drawFailureOf(rt *rapid.T, among []failure) {
	f := rapid.SampledFrom(among).Draw(rt, "failure")
	host := rapid.SampledFrom(hostNames).Draw(rt, "host")
	begin := sim.now + drawTime(rt, "begin", 6*time.Second)
	end := begin + drawTime(rt, "length", 12*time.Second)
	sim.at(begin, func() { f.begin(sim, host) })
	sim.at(end, func() { f.end(sim, host) })
}

// drawRequest schedules a request and the time at which its caller leaves.
func (sim *simulation) drawRequest(rt *rapid.T, a custody.Arrival) {
	at := sim.now + drawTime(rt, "at", 12*time.Second)
	host := rapid.SampledFrom(hostNames).Draw(rt, "to")
	within := 500*time.Millisecond + drawTime(rt, "within", 20*time.Second)
	leaves := at + drawTime(rt, "leaves", 20*time.Second)
	sim.at(at, func() {
		r := sim.send(host, a, within)
		sim.at(leaves, func() { sim.leave(r) })
	})
}

// checkGuarantees runs the simulation until all requests have ended and checks the
// guarantees.
func (sim *simulation) checkGuarantees(rt *rapid.T) {
	sim.runUntil(sim.now + drainTime)
	sim.checkRecovered(rt)
	if violations := sim.violations(); len(violations) > 0 {
		rt.Fatalf("%v", violations)
	}
}

// leave closes the connection of a request's caller.
func (sim *simulation) leave(r *request) {
	if r.finals == 0 && !r.lost {
		sim.post(r.host, CallerLeft{ID: r.arrival.ID}, 0)
	}
}

// checkRecovered checks that every host answers requests successfully once all failures
// are over.
func (sim *simulation) checkRecovered(rt *rapid.T) {
	var sent []*request
	for i, host := range hostNames {
		// A body that was in flight at two endpoint losses stays quarantined, so these
		// requests have distinct bodies.
		plain, once := chatRequest(), runOnceRequest("after "+string(host))
		plain.Fingerprint = uint64(100 + 2*i)
		once.Fingerprint = plain.Fingerprint + 1
		sent = append(sent, sim.send(host, plain, time.Minute), sim.send(host, once, time.Minute))
	}
	sim.runUntil(sim.now + drainTime)
	for _, r := range sent {
		if r.code != result.OK {
			rt.Fatalf("after all failures %s to %s was answered %s: %s",
				r.arrival.ID, r.arrival.Target, r.code, r.body)
		}
	}
}

// drawTime draws a duration in whole milliseconds.
func drawTime(rt *rapid.T, label string, most time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(0, int(most.Milliseconds())).Draw(rt, label)) * time.Millisecond
}

// maxLeaveTime is the guaranteed time after which an endpoint declared as leaving gets no
// new work: a poll of the revision, its propagation, and the lifetime of a grant, each
// with an allowance for lost and late messages.
const maxLeaveTime = 8 * time.Second

// TestLeavingEndpointGetsNoWorkUnderFailures draws failures that leave every host
// connected to the platform or to other hosts, and checks that an endpoint declared as
// leaving gets no new work after maxLeaveTime, even if the change was made while a host
// was frozen.
func TestLeavingEndpointGetsNoWorkUnderFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(rt, "seed"))
		sim.runUntil(startupTime)
		for range rapid.IntRange(1, 3).Draw(rt, "failures") {
			sim.drawFailureOf(rt, failuresWithoutPartition())
		}
		changed := sim.now + drawTime(rt, "changed", 8*time.Second)
		sim.at(changed, func() { sim.drain("engine-a1") })
		for range 80 {
			sim.drawRequest(rt, chatRequest())
		}
		for i := range 40 {
			sim.at(changed+time.Duration(i)*500*time.Millisecond, func() {
				sim.send(hostNames[i%2], chatRequest(), 20*time.Second)
			})
		}
		sim.checkGuarantees(rt)
		if last := sim.endpoints["engine-a1"].last; last > changed+maxLeaveTime {
			rt.Fatalf("new work %s after the change", last-changed)
		}
	})
}

// failuresWithoutPartition returns the failures that do not cut a host off from
// configuration changes.
func failuresWithoutPartition() []failure {
	return slices.DeleteFunc(slices.Clone(failures), func(f failure) bool {
		return f.name == "cut" || f.name == "platform down" || f.name == "platform cut off"
	})
}

// drain declares an endpoint as draining.
func (sim *simulation) drain(name string) {
	snap, err := resource.NewStore(&sim.table).Load(context.Background())
	if err != nil {
		panic(err)
	}
	e := snap.Endpoints[name]
	e.State = resource.EndpointDrain
	sim.apply(resource.Item{Kind: resource.KindEndpoint, Name: name, Spec: e})
}
