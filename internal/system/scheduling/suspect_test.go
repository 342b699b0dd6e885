package scheduling

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
)

// TestSuspectsAreKeptUntilCleared checks the suspects that a host passes to a new
// scheduler.
func TestSuspectsAreKeptUntilCleared(t *testing.T) {
	g := NewWithT(t)
	s := New(Config{})
	one := pool.Suspect{KeyHash: 1, Fingerprint: 2, Crashes: 1}
	two := pool.Suspect{KeyHash: 1, Fingerprint: 2, Crashes: 2, Quarantined: true}
	cleared := pool.Suspect{KeyHash: 1, Fingerprint: 2}
	steps := []struct {
		suspect pool.Suspect
		changed bool
		kept    []pool.Suspect
	}{
		{cleared, false, nil},
		{one, true, []pool.Suspect{one}},
		{one, false, []pool.Suspect{one}},
		{two, true, []pool.Suspect{two}},
		{one, false, []pool.Suspect{two}},
		{cleared, true, nil},
	}
	for i, step := range steps {
		g.Expect(s.recordSuspect(0, step.suspect)).To(Equal(step.changed), "step %d", i)
		g.Expect(s.sortedSuspects(0)).To(Equal(step.kept), "step %d", i)
	}
}

// TestSuspectPartsAreKeptApart checks that parts and requests with equal fingerprints differ, that a
// cleared part is no co-suspect any more, and that a trial concerns the pools but changes nothing.
func TestSuspectPartsAreKeptApart(t *testing.T) {
	g := NewWithT(t)
	s := New(Config{})
	request := pool.NewRepeatedSuspect(7, 2, 0)
	part := pool.NewSuspectPart(7, []uint64{8}, 3, 0)
	other := pool.NewSuspectPart(8, []uint64{7}, 3, 0)
	for _, x := range []pool.Suspect{request, part, other} {
		g.Expect(s.recordSuspect(0, x)).To(BeTrue())
	}
	g.Expect(s.sortedSuspects(0)).To(Equal([]pool.Suspect{request, part, other}))
	trial := part
	trial.Trial = true
	g.Expect(s.recordSuspect(0, trial)).To(BeTrue())
	g.Expect(s.recordSuspect(0, pool.Suspect{Fingerprint: 8, Part: true})).To(BeTrue())
	part.CoSuspects = []uint64{}
	g.Expect(s.sortedSuspects(0)).To(Equal([]pool.Suspect{request, part}))
}

// TestRecordedSuspectPartsAreBounded records more parts than are kept. Requests stay, and so does the
// part that crashed most endpoints.
func TestRecordedSuspectPartsAreBounded(t *testing.T) {
	g := NewWithT(t)
	s := New(Config{})
	known := pool.NewSuspectPart(1, nil, 2, 0)
	request := pool.NewRepeatedSuspect(1, 1, 0)
	s.recordSuspect(0, known)
	s.recordSuspect(0, request)
	for i := range uint64(rules.MaxSuspectParts + 100) {
		s.recordSuspect(time.Duration(i), pool.NewSuspectPart(100+i, nil, 1, 0))
	}
	g.Expect(s.suspects).To(HaveLen(rules.MaxSuspectParts + 1))
	g.Expect(s.suspects).To(HaveKey(keyOf(&known)))
	g.Expect(s.suspects).To(HaveKey(keyOf(&request)))
}
