package custody

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// lifetimes is a view whose endpoint has begun a lifetime.
type lifetimes struct {
	view
	started int64
}

func (v *lifetimes) Endpoint(name ident.Endpoint) (resource.Endpoint, bool) {
	return resource.Endpoint{Name: name, Address: "a:1", State: resource.EndpointActive, Started: v.started}, true
}

// TestReportsNameTheLifetimeThatWasUsed lets the endpoint begin another between the grant
// and its use.
func TestReportsNameTheLifetimeThatWasUsed(t *testing.T) {
	g := NewWithT(t)
	var out system.Outbox
	from := Scheduler{Host: "s", Incarnation: 1}
	v := &lifetimes{view: view{scheduler: from, has: true}, started: 5}
	s := New(Config{Self: "h", View: v})
	s.Arrive(0, Arrival{ID: "r", Target: "m", Deadline: time.Minute}, &out)
	s.Granted(0, from, &peerpb.Grant{Request: "r", Target: "m", Domain: "a", Endpoint: "e", Attempt: 1, Epoch: 1, ExpiresAtUs: time.Second.Microseconds()}, &out)
	v.started = 6
	s.Unreachable(0, "r", 1, &out)
	last := out.Sends[len(out.Sends)-1].Message.GetReport()
	g.Expect(last.GetUnreachable()).To(BeTrue())
	g.Expect(last.GetLifetime()).To(BeEquivalentTo(5))
}
