package control

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system/membership"
)

// TestDomainWithoutEndpointsSpills checks that requests of a domain whose endpoints
// accept no connections are spilled to other domains and run once each.
func TestDomainWithoutEndpointsSpills(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(3)
	sim.runUntil(startupTime)
	sim.setEndpointsDown("a", true)
	for i := range 20 {
		a := chatRequest()
		a.Fingerprint = uint64(i + 1)
		sim.send(hostNames[i%2], a, 30*time.Second)
		sim.runUntil(sim.now + 200*time.Millisecond)
	}
	sim.runUntil(sim.now + drainTime)
	g.Expect(sim.violations()).To(BeEmpty())
	g.Expect(sim.outcomes).To(Equal(map[result.Code]int{result.OK: 20}), fmt.Sprint(sim.outcomes))
}

// TestOtherDomainsServeAfterLossOfADomainsHosts checks that the other domains keep
// serving when all hosts of one domain are lost, and that the endpoints of that domain
// get no requests.
func TestOtherDomainsServeAfterLossOfADomainsHosts(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(4)
	sim.runUntil(startupTime)
	sim.kill("c1")
	sim.kill("c2")
	sim.runUntil(sim.now + maxTakeOverTime)
	for i := range 20 {
		a := chatRequest()
		a.Fingerprint = uint64(i + 1)
		sim.send(hostNames[i%4], a, 30*time.Second)
		sim.runUntil(sim.now + 100*time.Millisecond)
	}
	sim.runUntil(sim.now + drainTime)
	g.Expect(sim.violations()).To(BeEmpty())
	g.Expect(sim.outcomes).To(Equal(map[result.Code]int{result.OK: 20}), fmt.Sprint(sim.outcomes))
	g.Expect(sim.endpoints["engine-c1"].runs).To(BeEmpty())
}

// TestRequestForUnreachableDomainIsRefusedEarly checks that a request whose target exists
// only in an unreachable domain is refused long before its deadline, and is served once
// the domain is reachable again.
func TestRequestForUnreachableDomainIsRefusedEarly(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(5)
	sim.apply(sim.declare("engine-x", "c", "rare", resource.EndpointEngine))
	sim.runUntil(startupTime)
	rare := chatRequest()
	rare.Target = "rare"
	sim.partition("c", true)
	sim.runUntil(sim.now + 2*membership.ReachTimeout)
	sent := sim.now
	r := sim.send("a1", rare, time.Minute)
	sim.runUntil(sent + 2*time.Second)
	g.Expect(r.code).To(Equal(result.NoEndpoint), r.body)
	g.Expect(r.done - sent).To(BeNumerically("<", time.Second))

	sim.partition("c", false)
	sim.runUntil(sim.now + 2*membership.ReachTimeout)
	again := sim.send("a1", rare, time.Minute)
	sim.runUntil(sim.now + drainTime)
	g.Expect(again.code).To(Equal(result.OK))
	g.Expect(sim.violations()).To(BeEmpty())
}
