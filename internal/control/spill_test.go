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

// TestDomainWithoutEndpointsIsServedElsewhere checks that requests of a domain
// whose endpoints take no connection are passed on to other domains, each once.
func TestDomainWithoutEndpointsIsServedElsewhere(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(3)
	w.runUntil(settleTime)
	w.setDown("a", true)
	for i := range 20 {
		a := chat()
		a.Fingerprint = uint64(i + 1)
		w.send(hostNames[i%2], a, 30*time.Second)
		w.runUntil(w.now + 200*time.Millisecond)
	}
	w.runUntil(w.now + giveUp)
	g.Expect(w.faults()).To(BeEmpty())
	g.Expect(w.outcomes).To(Equal(map[result.Code]int{result.OK: 20}), fmt.Sprint(w.outcomes))
}

// TestDomainWithoutHostsIsLeftToItself checks that the hosts of other domains go
// on when all hosts of one are lost, and that its endpoints get nothing.
func TestDomainWithoutHostsIsLeftToItself(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(4)
	w.runUntil(settleTime)
	w.kill("c1")
	w.kill("c2")
	w.runUntil(w.now + takeOverBound)
	for i := range 20 {
		a := chat()
		a.Fingerprint = uint64(i + 1)
		w.send(hostNames[i%4], a, 30*time.Second)
		w.runUntil(w.now + 100*time.Millisecond)
	}
	w.runUntil(w.now + giveUp)
	g.Expect(w.faults()).To(BeEmpty())
	g.Expect(w.outcomes).To(Equal(map[result.Code]int{result.OK: 20}), fmt.Sprint(w.outcomes))
	g.Expect(w.endpoints["engine-c1"].runs).To(BeEmpty())
}

// TestRequestOfALostDomainIsRefusedInTime checks that a request whose target
// stands only in a domain that can't be reached is refused long before its
// deadline, and served when the domain is back.
func TestRequestOfALostDomainIsRefusedInTime(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(5)
	w.apply(w.declare("engine-x", "c", "rare", resource.EndpointEngine))
	w.runUntil(settleTime)
	rare := chat()
	rare.Target = "rare"
	w.split("c", true)
	w.runUntil(w.now + 2*membership.ReachTimeout)
	sent := w.now
	r := w.send("a1", rare, time.Minute)
	w.runUntil(sent + 2*time.Second)
	g.Expect(r.code).To(Equal(result.NoEndpoint), r.body)
	g.Expect(r.done - sent).To(BeNumerically("<", time.Second))

	w.split("c", false)
	w.runUntil(w.now + 2*membership.ReachTimeout)
	again := w.send("a1", rare, time.Minute)
	w.runUntil(w.now + giveUp)
	g.Expect(again.code).To(Equal(result.OK))
	g.Expect(w.faults()).To(BeEmpty())
}
