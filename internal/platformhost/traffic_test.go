package platformhost

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/metrics"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/platform"
)

// TestTrafficIsCountedByKindAndDomain checks a host of the same failure domain, one of another and
// one of an earlier version, whose row has none.
func TestTrafficIsCountedByKindAndDomain(t *testing.T) {
	g := NewWithT(t)
	var p peerTraffic
	p.init("a")
	p.addHosts([]platform.Host{{Name: "near", FailureDomain: "a"}, {Name: "old"}})
	p.addHosts([]platform.Host{{Name: "far", FailureDomain: "b"}})
	usage := peerpb.Kind(peerpb.Wrap(&peerpb.Envelope_Usage{}))
	p.count("near", usage, 10)
	p.count("near", usage, 5)
	p.count("far", usage, 7)
	p.count("old", 0, 3)
	g.Expect(p.read()).To(ConsistOf(
		metrics.PeerTraffic{Kind: "usage", Domain: "same", Messages: 2, Bytes: 15},
		metrics.PeerTraffic{Kind: "usage", Domain: "other", Messages: 1, Bytes: 7},
		metrics.PeerTraffic{Kind: "unknown", Domain: "unknown", Messages: 1, Bytes: 3},
	))
	g.Expect(testing.AllocsPerRun(100, func() { p.count("near", usage, 1) })).To(BeZero())
}
