package platformhost

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/platform"
)

// waiting returns the changes that are to be written.
func (h *Host) waiting() []pool.Suspect {
	var list []pool.Suspect
	for {
		select {
		case x := <-h.suspects.changes:
			list = append(list, x)
		default:
			return list
		}
	}
}

// TestOnlySuspectsThatMeanSomethingHaveARow checks which of them are written and removed.
func TestOnlySuspectsThatMeanSomethingHaveARow(t *testing.T) {
	g := NewWithT(t)
	h := &Host{log: quiet()}
	h.suspects.init()
	h.keepSuspect(pool.Suspect{Fingerprint: 1, Crashes: 1, Repeats: true})
	h.keepSuspect(pool.Suspect{Fingerprint: 1, Repeats: true})
	h.keepSuspect(pool.Suspect{Fingerprint: 2, Crashes: 2})
	g.Expect(h.waiting()).To(BeEmpty(), "lost once; cleared without a row; known by its key")
	kept := pool.Suspect{Fingerprint: 1, Crashes: 2, Repeats: true}
	cleared := pool.Suspect{Fingerprint: 1, Repeats: true}
	h.keepSuspect(kept)
	h.keepSuspect(cleared)
	h.keepSuspect(cleared)
	g.Expect(h.waiting()).To(Equal([]pool.Suspect{kept, cleared}))
	for n := range uint64(3 * mostSuspectRows) {
		h.keepSuspect(pool.Suspect{Fingerprint: 10 + n, Crashes: 2, Repeats: true})
	}
	g.Expect(h.waiting()).To(HaveLen(mostSuspectRows), "control is not held up")
}

// TestRowsOfOldSuspectsAreRemoved reads one whose time is over.
func TestRowsOfOldSuspectsAreRemoved(t *testing.T) {
	g := NewWithT(t)
	h := &Host{log: quiet()}
	h.suspects.init()
	h.learnSuspects([]platform.Suspect{{Fingerprint: 1, Crashes: 4, At: time.Now().Add(-rules.QuarantineRetention - time.Minute)}})
	changes := h.waiting()
	g.Expect(changes).To(HaveLen(1))
	g.Expect(changes[0].Fingerprint).To(BeEquivalentTo(1))
	g.Expect(changes[0].Crashes).To(BeZero())
}
