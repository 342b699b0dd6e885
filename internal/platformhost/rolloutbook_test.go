package platformhost

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/rollout"
	"github.com/trefoilchute/trefoilchute/platform"
)

// bookHost is a host with its book, on the virtual clock and before the store of a bookWorld.
type bookHost struct {
	book  rolloutBook
	world *bookWorld
}

// bookWorld is a store with one order's rows and a clock, and the hosts before it.
type bookWorld struct {
	*WithT
	now     time.Duration
	version uint64
	// ordered is the version of the order's row; 0 if it is gone.
	ordered uint64
	row     *platform.Rollout
	states  []rollout.State
	// era is the store's era; 0 if it names none. before is the order that the one in force stands for.
	era, before uint64
}

const target = "app"

func (w *bookWorld) order() rollout.Order {
	return rollout.Order{ID: w.ordered, Target: target, Version: "2", Duration: time.Minute, Again: w.before}
}

// put writes the order's row anew.
func (w *bookWorld) put() {
	w.version++
	w.ordered = w.version
}

func newBookWorld(t *testing.T) *bookWorld {
	w := &bookWorld{WithT: NewWithT(t), now: time.Hour, version: 6}
	w.put()
	return w
}

// host returns a host of a region that has seen the order.
func (w *bookWorld) host(name string, region ident.Domain) *bookHost {
	h := &bookHost{book: newRolloutBook(name, region), world: w}
	h.orders()
	return h
}

// orders lets the host read the orders.
func (h *bookHost) orders() {
	if h.world.ordered == 0 {
		h.book.setOrders(nil)
		return
	}
	h.book.setOrders([]rollout.Order{h.world.order()})
}

// schedule lets the host begin to schedule the pool, or stop it, and read the rows.
func (h *bookHost) schedule(scheduled bool) {
	h.world.now += time.Millisecond
	h.book.setScheduled(h.world.now, map[string]bool{target: scheduled})
	h.read()
}

// read lets the host read the rows.
func (h *bookHost) read() {
	w := h.world
	w.now += time.Millisecond
	page := platform.Page{Version: w.version}
	if w.era > 0 {
		page.Era = platform.NewEra(w.era)
	}
	w.Expect(json.Unmarshal(fmt.Appendf(nil, `{"now_ms":%d}`, w.now.Milliseconds()), &page)).To(Succeed())
	if w.row != nil {
		page.Rows = []platform.Row{{Table: platform.TableRollouts, Key: target, Version: w.row.Version, Value: encode(w.row)}}
	}
	h.book.read(page, w.now, true)
}

// encode returns the value of a row in the format of package platform.
func encode(r *platform.Rollout) []byte {
	b, _ := json.Marshal(map[string]any{
		"order": r.Order.ID, "to": r.Order.Version, "duration_s": r.Order.Duration.Seconds(), "first_seen_ms": r.FirstSeen.Milliseconds(),
		"decided_ms": r.Decided.Milliseconds(), "state": r.State.String(), "good": r.Good, "reason": r.Reason, "regions": r.Regions,
	})
	return b
}

// next returns the write that is due, if any.
func (h *bookHost) next() *platform.RolloutWrite {
	w, due := h.book.next(h.world.now)
	if !due {
		return nil
	}
	return &w
}

// commit applies a write as the store does, and reports whether its conditions held.
func (w *bookWorld) commit(x *platform.RolloutWrite) bool {
	have, order := uint64(0), x.Order.ID
	if w.row != nil {
		have = w.row.Version
	}
	if x.Withdrawn {
		order = 0
	}
	if x.Version != have || order != w.ordered {
		return false
	}
	w.version++
	row := x.Rollout
	row.Version = w.version
	w.row = &row
	if !x.KeepStatus {
		w.states = append(w.states, row.State)
	}
	return true
}

// settle lets the host write and read until nothing is due, and returns the number of writes.
func (h *bookHost) settle() int {
	for n := 0; ; n++ {
		x := h.next()
		if x == nil {
			return n
		}
		h.world.Expect(n).To(BeNumerically("<", 10), "the host writes on and on")
		h.world.commit(x)
		h.read()
	}
}

// decide delivers a decision of the host's pool on the order in force, which has taken longer than
// a claim has to stand.
func (h *bookHost) decide(state rollout.State) {
	h.world.now += claimSettle
	h.book.decide(rollout.Verdict{Order: h.book.orders[target], State: state, Reason: "judged"})
}

// status returns the status that the host tells its schedulers, or nil.
func (h *bookHost) status() *rollout.Status {
	list := h.book.statuses(h.world.now)
	if len(list) == 0 {
		return nil
	}
	h.world.Expect(list).To(HaveLen(1))
	return &list[0]
}

// TestOrderIsKnownOnlyOnceItsRowIsClaimed guards against a scheduler that gives candidates
// requests before it knows whether the order has been decided.
func TestOrderIsKnownOnlyOnceItsRowIsClaimed(t *testing.T) {
	w := newBookWorld(t)
	h := w.host("a", "r")
	w.Expect(h.status().Known).To(BeFalse(), "not read")
	h.read()
	w.Expect(h.settle()).To(BeZero(), "another host schedules the pool")
	h.schedule(true)
	w.Expect(h.status().Known).To(BeFalse(), "not written")
	w.Expect(h.settle()).To(Equal(1))
	w.Expect(*h.status()).To(And(HaveField("Known", true), HaveField("Confirmed", true), HaveField("Elapsed", BeNumerically("<", 2*time.Second))))
	w.now += rolloutConfirmed
	w.Expect(h.status().Confirmed).To(BeFalse(), "the store has not answered for a while")
	w.Expect(h.status().Known).To(BeTrue())
	w.Expect(w.states).To(Equal([]rollout.State{rollout.Running}))
}

// TestOutcomes runs one order to each of its defined ends.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		run    func(w *bookWorld, h *bookHost)
		want   rollout.State
		reason string
	}{
		"judged good": {func(_ *bookWorld, h *bookHost) { h.decide(rollout.Completed) }, rollout.Completed, "judged"},
		"judged bad":  {func(_ *bookWorld, h *bookHost) { h.decide(rollout.RolledBack) }, rollout.RolledBack, "judged"},
		"good, then bad while the store was away": {func(_ *bookWorld, h *bookHost) {
			h.decide(rollout.Completed)
			h.decide(rollout.RolledBack)
		}, rollout.RolledBack, "judged"},
		"bad, and not taken back": {func(_ *bookWorld, h *bookHost) {
			h.decide(rollout.RolledBack)
			h.decide(rollout.Completed)
		}, rollout.RolledBack, "judged"},
		"never judged": {func(w *bookWorld, _ *bookHost) { w.now += time.Minute }, rollout.RolledBack, reasonLimit},
		"withdrawn": {func(w *bookWorld, h *bookHost) {
			w.ordered = 0
			h.orders()
		}, rollout.RolledBack, reasonWithdrawn},
		"withdrawn and judged good": {func(w *bookWorld, h *bookHost) {
			h.decide(rollout.Completed)
			w.ordered = 0
			h.orders()
		}, rollout.RolledBack, reasonWithdrawn},
	} {
		t.Run(name, func(t *testing.T) {
			w := newBookWorld(t)
			h := w.host("a", "r")
			h.schedule(true)
			h.settle()
			c.run(w, h)
			w.Expect(h.settle()).To(Equal(1))
			w.Expect(w.states).To(Equal([]rollout.State{rollout.Running, c.want}))
			w.Expect(w.row.Reason).To(Equal(c.reason))
			w.Expect(*h.status()).To(And(HaveField("State", c.want), HaveField("Known", true)))
			h.decide(rollout.RolledBack)
			h.decide(rollout.Completed)
			w.now += time.Hour
			h.read()
			w.Expect(h.settle()).To(BeZero(), "a decision holds")
			successor := w.host("b", "r")
			successor.schedule(true)
			w.Expect(successor.settle()).To(BeZero(), "a decision holds for the next scheduler")
		})
	}
}

// TestBadVersionIsStoppedBeforeItIsStored checks that a decision against the version takes effect
// without the store, and that a good one does not.
func TestBadVersionIsStoppedBeforeItIsStored(t *testing.T) {
	w := newBookWorld(t)
	h := w.host("a", "r")
	h.schedule(true)
	h.settle()
	h.decide(rollout.Completed)
	w.Expect(h.status().State).To(Equal(rollout.Running))
	h.decide(rollout.RolledBack)
	w.Expect(h.status().State).To(Equal(rollout.RolledBack))
	h.schedule(false)
	w.Expect(h.settle()).To(Equal(1), "the decision is written even if another host schedules the pool by now")
}

// TestReplacedOrderStartsAfresh replaces an order that is running, and one that is decided.
func TestReplacedOrderStartsAfresh(t *testing.T) {
	w := newBookWorld(t)
	h := w.host("a", "r")
	h.schedule(true)
	h.settle()
	h.decide(rollout.RolledBack)
	w.put()
	w.now += 30 * time.Second
	w.Expect(w.commit(h.next())).To(BeFalse(), "a decision on the replaced order conflicts")
	h.orders()
	w.Expect(h.status().Known).To(BeFalse())
	w.Expect(h.settle()).To(Equal(1))
	w.Expect(*h.status()).To(And(HaveField("Known", true), HaveField("State", rollout.Running), HaveField("Elapsed", BeNumerically("<", 2*time.Second))))
	h.decide(rollout.Completed)
	h.settle()
	w.put()
	h.orders()
	h.settle()
	w.Expect(w.states).To(Equal([]rollout.State{rollout.Running, rollout.Running, rollout.Completed, rollout.Running}))
}

// TestFrozenSchedulerCannotCompleteLate guards against a scheduler that resumes with a decision
// to complete after its successor has moved traffic back.
func TestFrozenSchedulerCannotCompleteLate(t *testing.T) {
	w := newBookWorld(t)
	a, b := w.host("a", "r"), w.host("b", "r")
	a.schedule(true)
	a.settle()
	a.decide(rollout.Completed)
	late := a.next()
	w.Expect(late.State).To(Equal(rollout.Completed))
	w.now += 5 * time.Second
	b.schedule(true)
	w.Expect(b.status().Known).To(BeFalse(), "the earlier scheduler may still complete")
	w.Expect(b.settle()).To(Equal(1))
	w.Expect(b.status().Known).To(BeTrue())
	w.Expect(w.commit(late)).To(BeFalse())
	a.schedule(false)
	w.Expect(a.settle()).To(BeZero())
	w.Expect(w.states).To(Equal([]rollout.State{rollout.Running}))
}

// TestReturningSchedulerReadsTheRowsFirst guards against a host that schedules the pool again and
// goes by what it had read before another one decided.
func TestReturningSchedulerReadsTheRowsFirst(t *testing.T) {
	w := newBookWorld(t)
	a, b := w.host("a", "r"), w.host("b", "r")
	a.schedule(true)
	a.settle()
	a.schedule(false)
	b.schedule(true)
	b.settle()
	b.decide(rollout.RolledBack)
	b.settle()
	w.now += time.Second
	a.book.setScheduled(w.now, map[string]bool{target: true})
	w.Expect(a.status().Known).To(BeFalse())
	w.Expect(a.next()).To(BeNil())
	a.read()
	w.Expect(*a.status()).To(And(HaveField("Known", true), HaveField("State", rollout.RolledBack)))
}

// TestTwoSchedulersOfOnePoolDecideOnce has two hosts that are cut off from each other schedule the
// pool. One decision must stand, and neither may claim the row again and again.
func TestTwoSchedulersOfOnePoolDecideOnce(t *testing.T) {
	w := newBookWorld(t)
	a, b := w.host("a", "r"), w.host("b", "r")
	a.schedule(true)
	b.schedule(true)
	writes := 0
	run := func(span time.Duration) {
		for until := w.now + span; w.now < until; w.now += 250 * time.Millisecond {
			a.read()
			writes += a.settle()
			b.read()
			writes += b.settle()
		}
	}
	a.decide(rollout.Completed)
	run(10 * time.Second)
	w.Expect(writes).To(BeNumerically("<=", 8))
	w.Expect(w.states).To(Equal([]rollout.State{rollout.Running}), "the other may use the old endpoints")
	a.decide(rollout.RolledBack)
	b.decide(rollout.Completed)
	first, second := a.next(), b.next()
	w.Expect(w.commit(first)).To(BeTrue())
	if second != nil {
		w.Expect(w.commit(second)).To(BeFalse())
	}
	b.read()
	b.settle()
	w.Expect(w.states).To(Equal([]rollout.State{rollout.Running, rollout.RolledBack}))
	w.Expect(b.status().State).To(Equal(rollout.RolledBack), "the other adopts it")
}

// TestSchedulerOutlivesAShortTakeOver has another host schedule the pool for a moment while the
// scheduler is frozen, and go on deciding. The scheduler must be able to complete.
func TestSchedulerOutlivesAShortTakeOver(t *testing.T) {
	w := newBookWorld(t)
	a, b := w.host("a", "r"), w.host("b", "r")
	a.schedule(true)
	a.settle()
	w.now += 10 * time.Second
	b.schedule(true)
	b.settle()
	b.schedule(false)
	b.decide(rollout.RolledBack)
	for range 30 {
		a.read()
		a.book.decide(rollout.Verdict{Order: w.order(), State: rollout.Completed})
		a.settle()
		b.read()
		b.settle()
		w.now += 250 * time.Millisecond
	}
	w.Expect(w.states).To(Equal([]rollout.State{rollout.Running, rollout.Completed}))
}

// TestLostAndLateWrites has a write without an answer be applied, be lost, or be applied after it
// has been repeated.
func TestLostAndLateWrites(t *testing.T) {
	for name, applied := range map[string]bool{"applied": true, "late": false} {
		t.Run(name, func(t *testing.T) {
			w := newBookWorld(t)
			h := w.host("a", "r")
			h.schedule(true)
			h.settle()
			h.decide(rollout.Completed)
			lost := h.next()
			if applied {
				w.Expect(w.commit(lost)).To(BeTrue())
			}
			h.read()
			w.Expect(h.settle()).To(Equal(map[bool]int{true: 0, false: 1}[applied]))
			w.Expect(w.commit(lost)).To(BeFalse())
			w.Expect(w.states).To(Equal([]rollout.State{rollout.Running, rollout.Completed}))
		})
	}
}

// TestCompletedOnlyOnceEveryRegionHasMoved guards against old endpoints that are stopped while the
// hosts of another region, whose pool has the same endpoints, still use them.
func TestCompletedOnlyOnceEveryRegionHasMoved(t *testing.T) {
	w, a, b := newTwoRegions(t)
	w.Expect(w.states).To(Equal([]rollout.State{rollout.Running}))
	w.Expect(a.book.following()).To(BeEmpty())
	b.read()
	w.Expect(b.book.following()).To(HaveLen(1))
	w.Expect(b.status().State).To(Equal(rollout.Completed), "its pool moves all traffic")
	b.decide(rollout.Completed)
	w.Expect(b.settle()).To(Equal(1))
	w.Expect(w.states).To(Equal([]rollout.State{rollout.Running, rollout.Completed}))
	w.Expect(w.row.Reason).To(Equal("judged"))
}

// newTwoRegions returns two schedulers of one target's pools, the first of which has completed.
func newTwoRegions(t *testing.T) (w *bookWorld, a, b *bookHost) {
	w = newBookWorld(t)
	a, b = w.host("a", "r1"), w.host("b", "r2")
	a.schedule(true)
	b.schedule(true)
	a.settle()
	b.read()
	b.settle()
	a.read()
	w.Expect(a.settle() + b.settle()).To(BeZero())
	a.decide(rollout.Completed)
	w.Expect(a.settle()).To(Equal(1))
	return w, a, b
}

// TestRolledBackIfARegionDoesNotMove checks that an order ends at its limit if another region is
// lost, while the pool of this one repeats its decision.
func TestRolledBackIfARegionDoesNotMove(t *testing.T) {
	w, a, _ := newTwoRegions(t)
	w.now += time.Minute
	a.read()
	a.decide(rollout.Completed)
	a.settle()
	w.Expect(w.states).To(Equal([]rollout.State{rollout.Running, rollout.RolledBack}))
}

// TestDecisionsCeaseToHaveAnEffect checks that versions are ignored again some time after a
// completed or withdrawn order, so that endpoints can be replaced without an order.
func TestDecisionsCeaseToHaveAnEffect(t *testing.T) {
	w := newBookWorld(t)
	h, other := w.host("a", "r"), w.host("b", "r")
	h.schedule(true)
	other.schedule(false)
	h.settle()
	h.decide(rollout.Completed)
	h.settle()
	w.now += completedHold + time.Second
	w.Expect(h.status()).To(BeNil())
	w.put()
	h.orders()
	other.orders()
	h.settle()
	w.ordered = 0
	h.orders()
	other.orders()
	h.settle()
	w.Expect(other.status().State).To(Equal(rollout.RolledBack), "it may become the scheduler")
	for range 2 {
		other.schedule(false)
		w.now += withdrawnHold + time.Second
	}
	w.Expect(h.status()).To(BeNil())
	w.Expect(other.status()).To(BeNil())
	w.Expect(other.book.active()).To(BeFalse())
}

// TestOrderWithdrawnWhileNoHostRanIsRolledBack checks that hosts which start look for rows whose
// order is gone, but not before the orders are known.
func TestOrderWithdrawnWhileNoHostRanIsRolledBack(t *testing.T) {
	w := newBookWorld(t)
	h := w.host("a", "r")
	h.schedule(true)
	h.settle()
	w.ordered = 0
	fresh := &bookHost{book: newRolloutBook("b", "r"), world: w}
	fresh.read()
	fresh.schedule(true)
	w.Expect(fresh.settle()).To(BeZero())
	fresh.orders()
	fresh.schedule(true)
	w.Expect(fresh.settle()).To(Equal(1))
	w.Expect(w.states).To(Equal([]rollout.State{rollout.Running, rollout.RolledBack}))
}
