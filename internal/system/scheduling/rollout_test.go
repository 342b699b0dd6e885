package scheduling

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/rollout"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// TestRolloutOrders guards the way of orders to the pools and of decisions back: a pool hears of
// its order when it starts and when the order changes, an order that is no longer told is not
// confirmed, and one for a target without endpoints is rolled back before its limit.
func TestRolloutOrders(t *testing.T) {
	g := NewWithT(t)
	var out system.Outbox
	s := newTestSystem(&out)
	status := func(target string, elapsed time.Duration) rollout.Status {
		return rollout.Status{
			Order:   rollout.Order{ID: 7, Target: target, Version: "2", Duration: time.Minute},
			Elapsed: elapsed, Known: true, Confirmed: true,
		}
	}
	bounds := rollout.Bounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}
	tell := func(now time.Duration) {
		s.SetRollouts(now, []rollout.Status{status("m", now), status("unknown", now)}, bounds, &out)
	}
	told := func() (list []pool.RolloutChanged) {
		for _, step := range s.TakeSteps() {
			for _, e := range step.Events {
				if x, ok := e.(pool.RolloutChanged); ok {
					list = append(list, x)
				}
			}
		}
		return list
	}
	g.Expect(s.RolloutsEnabled()).To(BeFalse())
	tell(time.Second)
	g.Expect(s.RolloutsEnabled()).To(BeTrue())
	for _, h := range []ident.Host{"other", "self"} {
		s.Receive(2*time.Second, Process{h, 1}, holdingsReply(0), &out)
	}
	first := told()
	g.Expect(first).To(HaveLen(1), "told at the start")
	g.Expect(first[0].Status.Elapsed).To(Equal(2 * time.Second))
	tell(3 * time.Second)
	g.Expect(told()).To(BeEmpty(), "nothing but the time has changed")
	s.Tick(7*time.Second, &out)
	late := told()
	g.Expect(late).To(HaveLen(1))
	g.Expect(late[0].Status.Confirmed).To(BeFalse())
	tell(8 * time.Second)
	g.Expect(told()).To(HaveLen(1), "confirmed again")

	tell(58 * time.Second)
	s.Tick(58*time.Second, &out)
	var unknown []rollout.Verdict
	for _, v := range s.TakeVerdicts() {
		if v.Order.Target == "unknown" {
			unknown = append(unknown, v)
		}
	}
	g.Expect(unknown).To(HaveLen(1))
	g.Expect(unknown[0].State).To(Equal(rollout.RolledBack))
	s.Tick(59*time.Second, &out)
	g.Expect(s.TakeVerdicts()).To(BeEmpty(), "not repeated at once")
	s.SetRollouts(60*time.Second, nil, bounds, &out)
	ended := told()
	g.Expect(ended[len(ended)-1].Active).To(BeFalse(), "withdrawn")
}
