package platformhost

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/rollout"
	"github.com/trefoilchute/trefoilchute/platform"
)

// restore lets the store come back from a copy with a row of the order, or none.
func (w *bookWorld) restore(row *platform.Rollout, version uint64) {
	w.row, w.version = row, version
	w.era++
}

// Guards against a decision that operators have seen and that the store has lost: the row of the older copy
// was ignored until the versions had passed it, and the next scheduler decided anew.
func TestDecisionThatTheStoreHasLostIsWrittenAgain(t *testing.T) {
	for name, withRow := range map[string]bool{"the copy has the running order's row": true, "the copy has no row": false} {
		t.Run(name, func(t *testing.T) {
			w := newBookWorld(t)
			w.era = 1
			h := w.host("a", "r")
			h.schedule(true)
			h.settle()
			copied, version := w.row, w.version
			h.decide(rollout.Completed)
			w.Expect(h.settle()).To(Equal(1))
			w.Expect(h.book.needsRows()).To(BeFalse())

			if !withRow {
				copied, version = nil, w.ordered
			}
			w.restore(copied, version)
			h.book.eraRose()
			w.Expect(h.book.needsRows()).To(BeTrue())
			h.read()
			w.Expect(*h.status()).To(And(HaveField("State", rollout.Completed), HaveField("Known", true)), "the traffic stays")
			w.Expect(h.settle()).To(Equal(1))
			w.Expect(w.row.State).To(Equal(rollout.Completed))
			w.Expect(w.states).To(Equal([]rollout.State{rollout.Running, rollout.Completed, rollout.Completed}))
			w.Expect(h.book.kept).To(BeEmpty())
			w.now += time.Hour
			successor := w.host("b", "r")
			successor.schedule(true)
			w.Expect(successor.settle()).To(BeZero())
		})
	}
}

// Guards against an order that begins anew, and may be decided otherwise, because the operator has written it
// again after the store had lost it.
func TestOrderWrittenAgainKeepsItsState(t *testing.T) {
	for _, state := range []rollout.State{rollout.Running, rollout.Completed, rollout.RolledBack} {
		t.Run(state.String(), func(t *testing.T) {
			w := newBookWorld(t)
			w.era = 1
			h := w.host("a", "r")
			before := w.version - 1
			h.schedule(true)
			h.settle()
			if state != rollout.Running {
				h.decide(state)
				h.settle()
			}
			seen := w.row.FirstSeen
			w.restore(nil, before-3)
			h.read()
			w.before = w.ordered
			w.put()
			w.Expect(w.ordered).NotTo(Equal(w.before))
			h.orders()
			w.Expect(h.settle()).To(Equal(1))
			w.Expect(w.row.Order.ID).To(Equal(w.ordered))
			w.Expect(w.row.State).To(Equal(state))
			w.Expect(w.row.FirstSeen).To(Equal(seen))
			w.before = 0
			h.orders()
			w.Expect(h.settle()).To(BeZero())
			successor := w.host("b", "r")
			successor.schedule(true)
			successor.settle()
			w.Expect(w.row.State).To(Equal(state))
			w.Expect(w.row.FirstSeen).To(Equal(seen))
		})
	}
}

// TestLaterStateOfTheStoreStays checks that a row which the store has kept goes before what is remembered.
func TestLaterStateOfTheStoreStays(t *testing.T) {
	w := newBookWorld(t)
	w.era = 1
	h, other := w.host("a", "r"), w.host("b", "r")
	h.schedule(true)
	h.settle()
	other.read()
	h.decide(rollout.RolledBack)
	h.settle()
	w.restore(w.row, w.version)
	other.schedule(true)
	w.Expect(other.settle()).To(BeZero())
	w.Expect(other.status().State).To(Equal(rollout.RolledBack))
	w.Expect(other.book.kept).To(BeEmpty())
}
