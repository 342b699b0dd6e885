package platformhost

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/metrics"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/pool/promise"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/platform"
)

// TestPoolMetricsComeFromItsScheduler checks that only the host that schedules a pool reports
// its waiting requests and slots.
func TestPoolMetricsComeFromItsScheduler(t *testing.T) {
	g := NewWithT(t)
	s := metrics.Status{Waiting: map[ident.Tier]int{}, Slots: map[metrics.NameState]int{}, Promises: map[metrics.NameState]int{}, Load: map[metrics.NameState]int{}}
	name := ident.Pool{Target: "llm", Domain: "west"}
	countPool(&s, control.PoolStatus{Pool: name})
	g.Expect(s.Slots).To(BeEmpty(), "the pool is scheduled by another host")
	countPool(&s, control.PoolStatus{Pool: name, Detail: &pool.Status{
		Queue:     []pool.QueueStatus{{Rank: 1, Waiting: 2}, {Rank: rules.LatePriorityOffset + 1, Waiting: 3}, {Rank: 2*rules.ExcessPriorityOffset + 1, Waiting: 4}},
		Holders:   pool.Holders{Granted: 1, Prefilling: 2, Decoding: 3, Orphaned: 4},
		Promises:  promise.Counts{Made: 5, Kept: 4},
		Endpoints: []pool.EndpointStatus{{Factor: 2.5}, {Factor: 1}, {}, {}},
	}})
	g.Expect(s.Waiting).To(Equal(map[ident.Tier]int{"rank-1": 2, "late-rank-1": 3, "beyond-share-rank-1": 4}))
	g.Expect(s.Slots).To(Equal(map[metrics.NameState]int{
		{Name: "llm@west", State: "granted"}: 1, {Name: "llm@west", State: "prefilling"}: 2,
		{Name: "llm@west", State: "decoding"}: 3, {Name: "llm@west", State: "orphaned"}: 4,
	}))
	g.Expect(s.Promises).To(HaveKeyWithValue(metrics.NameState{Name: "llm@west", State: "kept"}, 4))
	g.Expect(s.Load).To(Equal(map[metrics.NameState]int{
		{Name: "llm@west", State: "slow"}: 1, {Name: "llm@west", State: "usual"}: 1, {Name: "llm@west", State: "unknown"}: 2,
	}))
}

func TestStoreOutcomeNames(t *testing.T) {
	g := NewWithT(t)
	for want, err := range map[string]error{
		"ok": nil, "conflict": platform.ErrConflict, "history_gone": platform.ErrHistoryGone,
		"ambiguous": errors.Wrap(platform.ErrAmbiguous, "POST"), "unavailable": platform.ErrUnavailable,
	} {
		g.Expect(storeOutcome(err)).To(Equal(want))
	}
}
