package platformhost

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/platform"
)

// pendingChanges takes and returns the queued changes.
func (h *Host) pendingChanges() []pool.Suspect {
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

// TestStoreSuspectSkipsInsignificantSuspects checks which suspects are written and removed,
// and that a full queue doesn't block the control loop.
func TestStoreSuspectSkipsInsignificantSuspects(t *testing.T) {
	g := NewWithT(t)
	h := &Host{log: discardLogger()}
	h.suspects.init()
	h.storeSuspect(pool.Suspect{Fingerprint: 1, Crashes: 1, Repeats: true})
	h.storeSuspect(pool.Suspect{Fingerprint: 1, Repeats: true})
	h.storeSuspect(pool.Suspect{Fingerprint: 2, Crashes: 2})
	g.Expect(h.pendingChanges()).To(BeEmpty(), "a single crash; cleared without a row; identified by its key")
	kept := pool.Suspect{Fingerprint: 1, Crashes: 2, Repeats: true}
	cleared := pool.Suspect{Fingerprint: 1, Repeats: true}
	h.storeSuspect(kept)
	h.storeSuspect(cleared)
	h.storeSuspect(cleared)
	g.Expect(h.pendingChanges()).To(Equal([]pool.Suspect{kept, cleared}))
	for n := range uint64(3 * maxSuspectRows) {
		h.storeSuspect(pool.Suspect{Fingerprint: 10 + n, Crashes: 2, Repeats: true})
	}
	g.Expect(h.pendingChanges()).To(HaveLen(maxSuspectRows), "a full queue must not block the control loop")
}

// TestRestoreSuspectsRemovesExpiredRows restores a row older than the quarantine retention.
func TestRestoreSuspectsRemovesExpiredRows(t *testing.T) {
	g := NewWithT(t)
	h := &Host{log: discardLogger()}
	h.suspects.init()
	h.restoreSuspects([]platform.Suspect{{Fingerprint: 1, Crashes: 4, At: time.Now().Add(-rules.QuarantineRetention - time.Minute)}})
	changes := h.pendingChanges()
	g.Expect(changes).To(HaveLen(1))
	g.Expect(changes[0].Fingerprint).To(BeEquivalentTo(1))
	g.Expect(changes[0].Crashes).To(BeZero())
}

// TestSuspectPartsAreStoredApartFromRequests stores a part and a request with the same fingerprint.
func TestSuspectPartsAreStoredApartFromRequests(t *testing.T) {
	g := NewWithT(t)
	h := &Host{log: discardLogger()}
	h.suspects.init()
	part := pool.NewSuspectPart(1, []uint64{2}, 3, 0)
	request := pool.NewRepeatedSuspect(1, 2, 0)
	cleared := pool.Suspect{Fingerprint: 1, Part: true, Repeats: true}
	for _, x := range []pool.Suspect{part, request, cleared} {
		h.storeSuspect(x)
	}
	g.Expect(h.pendingChanges()).To(Equal([]pool.Suspect{part, request, cleared}))
	g.Expect(h.suspects.stored).To(Equal(map[storedSuspect]bool{{1, false}: true}))
}
