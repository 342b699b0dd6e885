package replay

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/pool"
)

func TestTracesReplayToTheirStatedOutcomes(t *testing.T) {
	traces, err := filepath.Glob("testdata/*.trace.gz")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(traces).To(HaveLen(3))
	for _, name := range traces {
		t.Run(filepath.Base(name), func(t *testing.T) {
			g := NewWithT(t)
			recorded, err := os.ReadFile(name)
			g.Expect(err).NotTo(HaveOccurred())
			stated, err := os.ReadFile(strings.TrimSuffix(name, ".trace.gz") + ".outcome")
			g.Expect(err).NotTo(HaveOccurred())
			for range 2 {
				outcome, err := Run(bytes.NewReader(recorded), NewPool)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(outcome.FirstMismatch).To(BeEmpty())
				g.Expect(outcome.String()).To(Equal(string(stated)))
			}
		})
	}
}

func TestAnotherPolicyIsSeenToDiffer(t *testing.T) {
	g := NewWithT(t)
	f, err := os.Open("testdata/utility.trace.gz")
	g.Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	outcome, err := Run(f, func(c pool.Config) Scheduler {
		c.Epoch++
		return pool.New(c)
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(outcome.Mismatches).To(BeNumerically(">", 0))
}
