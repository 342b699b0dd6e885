package soak

import (
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestRolloutsOfGoodAndBadVersions is the short form of the rollouts soak, without faults: a good
// version must be completed, and a bad one be rolled back within its bounds.
func TestRolloutsOfGoodAndBadVersions(t *testing.T) {
	const limit = 20 * time.Second
	regions := slices.Repeat([]string{region}, hosts)
	for seed, kind := range []rolloutKind{goodVersion, badVersions[1]} {
		t.Run(strings.ReplaceAll(kind.name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			program, err := buildProgram()
			g.Expect(err).NotTo(HaveOccurred())
			broken, summary, err := runRollout(t.Context(), Options{Program: program, Dir: t.ArtifactDir()}, uint64(seed), rolloutPlan{kind: kind, limit: limit, regions: regions})
			t.Log(summary)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(broken).To(BeEmpty())
		})
	}
}
