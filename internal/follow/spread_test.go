package follow

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/platform"
)

// eraHosts is the number of hosts of TestEraReachesAllHosts.
var eraHosts = flag.Int("era-hosts", 12, "number of hosts that learn a new era of the store")

const (
	// spreadBound is the time in which all hosts are in a new era, and storeReads the paths that they read.
	spreadBound = 2 * time.Second
	pathGet     = "/v1/rows-get"
	pathPoll    = "/v1/rows-feed"
	pathCommit  = "/v1/rows-tx"
)

// TestEraReachesAllHosts checks the time from the store's return from an older copy until each host
// knows of the new era and has a confirmed configuration, and that few of them call the store for it.
func TestEraReachesAllHosts(t *testing.T) {
	s := newRestoredStore(t)
	s.readers = []ident.Host{"host-0", "host-1"}
	s.write(1)
	var hosts []*storeHost
	for n := range *eraHosts {
		hosts = append(hosts, s.start(ident.Host(fmt.Sprintf("host-%d", n)), true, false))
	}
	inEra := func(number uint64) func() int {
		return func() int {
			ready := 0
			for _, h := range hosts {
				h.state.mu.Lock()
				era := h.state.era
				h.state.mu.Unlock()
				if age, known := h.ConfigurationAge(); known && age < NoticeTime && era == platform.NewEra(number) {
					ready++
				}
			}
			return ready
		}
	}
	s.Eventually(inEra(1), 20*time.Second).Should(Equal(len(hosts)))
	time.Sleep(2 * time.Second)
	calls := func() []int {
		return []int{s.server.Calls(pathGet), s.server.Calls(pathPoll), s.server.Calls(pathCommit)}
	}
	calm := calls()
	time.Sleep(spreadBound)
	before := calls()
	s.server.Restore(s.server.Copy(), true)
	back := time.Now()
	s.Eventually(inEra(2), 4*spreadBound, 5*time.Millisecond).Should(Equal(len(hosts)))
	took := time.Since(back)
	time.Sleep(spreadBound - min(spreadBound, took))
	after := calls()
	t.Logf("%d hosts in the new era after %v; reads, polls and writes in %v: %v, %v before", len(hosts), took.Round(time.Millisecond), spreadBound,
		differences(after, before), differences(before, calm))
	s.Expect(took).To(BeNumerically("<", spreadBound))
	s.Expect(after[2]-before[2]).To(BeNumerically("<=", len(s.readers)), "the mark is written once, and tried by readers alone")
}

// differences returns a less b.
func differences(a, b []int) []int {
	out := make([]int, len(a))
	for i := range a {
		out[i] = a[i] - b[i]
	}
	return out
}
