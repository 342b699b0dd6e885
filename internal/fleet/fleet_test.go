package fleet

import (
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestSameSeedSameResult(t *testing.T) {
	g := NewWithT(t)
	d := Deployments()["factory"]
	run := func(seed uint64) Result {
		p, err := NewPolicy(PolicyPool, seed)
		g.Expect(err).NotTo(HaveOccurred())
		return Execute(p, d, Generate(d, seed, 1.5, 20*time.Second), StandardFaults(20*time.Second), seed)
	}
	g.Expect(run(3).String()).To(Equal(run(3).String()))
	g.Expect(run(3).String()).NotTo(Equal(run(4).String()))
}

func TestEveryRequestHasOneEnd(t *testing.T) {
	g := NewWithT(t)
	for _, name := range Policies() {
		d := Deployments()["utility"]
		p, err := NewPolicy(name, 1)
		g.Expect(err).NotTo(HaveOccurred())
		r := Execute(p, d, Generate(d, 1, 2.5, 20*time.Second), StandardFaults(20*time.Second), 1)
		offered, ended := 0, r.expired
		for _, tier := range r.Tiers {
			offered += tier.Offered
			ended += tier.Good + tier.Refused + tier.Late + tier.Lost
		}
		g.Expect(ended).To(Equal(offered), name)
	}
}

// The poison request is sent every 3 s for 3 minutes; the run has one crash of
// its own.
func TestPoisonCostsTwoCrashes(t *testing.T) {
	g := NewWithT(t)
	for name, d := range Deployments() {
		length := 3 * time.Minute
		if name == "large" {
			length = 20 * time.Second
		}
		r, err := Record(io.Discard, d, 1, 0.7, length)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.Crashes).To(BeNumerically("<=", 3), name)
		g.Expect(r.Crashes).To(BeNumerically(">", 1), name)
	}
}
