package follow

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/platform"
)

// lostVersions is the number of versions that the store gives out and then loses.
const lostVersions = 20

// writeOthers writes rows that concern no reader.
func (h *configurationReader) writeOthers(n int) {
	for range n {
		h.store.Put("other", "", "row", nil)
	}
}

// replaceHistory makes the store come back from an older copy on the connections that it has. It gives
// out the versions that were lost again, among them those of changes.
func (h *configurationReader) replaceHistory(changes func()) {
	h.store.NameEra(1)
	older := h.store.Copy()
	h.writeOthers(lostVersions)
	time.Sleep(pollTime)
	h.store.Restore(older, false)
	changes()
	h.writeOthers(2 * lostVersions)
}

// Guards against a configuration that is never seen because its version of the store was given out
// before: the one before it counted as confirmed by each poll, and callers could use the keys that the
// new one removed for good.
func TestConfigurationAtAVersionGivenOutAgainComesIntoForce(t *testing.T) {
	t.Parallel()
	h := newConfigurationReader(t)
	h.replaceHistory(func() { h.put(2) })
	h.Eventually(h.versions, 5*time.Second).Should(Equal([]uint64{1, 2}))
	h.Consistently(h.age, severalPolls).Should(BeNumerically("<", pollTime))
}

// Guards against requests to an endpoint that announced its end at a version of the store that was
// given out before. The whole table was read only every 18 s.
func TestEndpointThatLeavesAtAVersionGivenOutAgainIsSeen(t *testing.T) {
	t.Parallel()
	h := newConfigurationReader(t)
	row := func(state string) {
		h.store.Put(platform.TableEndpoints, "", "a", []byte(
			`{"service":"s","address":"10.0.0.1:80","zone":"z","slots":10,"state":"`+state+`","sequence":1}`))
	}
	row("ready")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); h.follower.FollowEndpoints(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	leaving := func() map[ident.Endpoint]bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		states := map[ident.Endpoint]bool{}
		for _, e := range h.endpoints {
			states[e.Name] = e.Leaving
		}
		return states
	}
	h.Eventually(leaving, 5*time.Second).Should(HaveKeyWithValue(ident.Endpoint("a"), false))
	h.replaceHistory(func() { row("draining") })
	h.Eventually(leaving, 5*time.Second).Should(HaveKeyWithValue(ident.Endpoint("a"), true))
}
