package scheduling

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/pool"
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
		news    bool
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
		g.Expect(s.recordSuspect(0, step.suspect)).To(Equal(step.news), "step %d", i)
		g.Expect(s.sortedSuspects(0)).To(Equal(step.kept), "step %d", i)
	}
}
