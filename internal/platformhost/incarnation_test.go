package platformhost

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/standin/store"
	"github.com/trefoilchute/trefoilchute/platform"
)

// Guards against a process that the other hosts take for its predecessor after the time of day went
// back; it ended by itself, with the requests that it had accepted (review/9).
func TestProcessIsLaterThanItsPredecessorWhateverTheClockSays(t *testing.T) {
	for name, field := range map[string]string{"killed": "incarnation", "stopped": "last_incarnation"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			predecessor := uint64(time.Now().Add(time.Hour).UnixMilli())
			h, _ := startHost(t, func(s *store.Server) {
				s.Put("trefoilchute-hosts", "hosts", "host-1", fmt.Appendf(nil,
					`{"name":"host-1","address":"127.0.0.1:9","domain":"region",%q:%d,"written":%d}`, field, predecessor, time.Now().UnixMilli()))
			})
			list, err := h.store.Hosts(context.Background(), platform.Position{})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(list.Hosts).To(HaveExactElements(HaveField("Incarnation", BeNumerically(">", predecessor))))
			g.Expect(h.loop.Inspect(context.Background(), func(c *control.Core) {
				g.Expect(c.Members()).To(HaveExactElements(And(
					HaveField("Host", ident.Host("host-1")), HaveField("Incarnation", list.Hosts[0].Incarnation))))
			})).To(Succeed())
		})
	}
}

// A process that a later one has replaced answers the requests that it has accepted.
func TestSupersededProcessStopsAsPlanned(t *testing.T) {
	g := NewWithT(t)
	h, ended := startHost(t)
	for range 2 {
		h.supersede()
	}
	g.Eventually(h.gateway.StoppingSince, time.Second).ShouldNot(BeNil())
	g.Eventually(ended, 10*time.Second).Should(Receive(BeNil()))
}
