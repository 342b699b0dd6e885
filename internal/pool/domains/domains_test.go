package domains

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
)

var prices = Prices{Delay: time.Millisecond, ByteCost: 2 * time.Second}

// play records demand for some seconds: requests of 0.1 s of slot time at rates a second by domain.
func play(l *Ledger, from, to time.Duration, perSecond map[ident.Domain]int) {
	for d, n := range perSecond {
		l.AddSlots(d, 0)
		for at := from; n > 0 && at < to; at += time.Second / time.Duration(n) {
			l.Arrive(at, d, 100*time.Millisecond)
		}
	}
}

// Guards against a cost that keeps work in a full domain while another one idles, lets two full
// domains exchange work, or trusts demand that is not known yet.
func TestCostFollowsTheOtherDomainsDemand(t *testing.T) {
	const idle, half, full = 0, 50, 100
	cases := []struct {
		name   string
		demand int
		slots  int
		after  time.Duration
		bytes  int
		atMost time.Duration
		least  time.Duration
	}{
		{"idle domain", idle, 10, 4 * time.Second, 16 << 10, 60 * time.Millisecond, 20 * time.Millisecond},
		{"half of its slots", half, 10, 4 * time.Second, 16 << 10, 60 * time.Millisecond, 20 * time.Millisecond},
		{"full domain", full, 10, 4 * time.Second, 16 << 10, rules.CrossDomainPenalty, rules.CrossDomainPenalty},
		{"no slots", idle, 0, 4 * time.Second, 16 << 10, rules.CrossDomainPenalty, rules.CrossDomainPenalty},
		{"large body", idle, 10, 4 * time.Second, 256 << 10, 600 * time.Millisecond, 500 * time.Millisecond},
		{"demand unknown after a start", idle, 10, 500 * time.Millisecond, 16 << 10, rules.CrossDomainPenalty, rules.CrossDomainPenalty},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := NewLedger(prices)
			play(&l, 0, c.after, map[ident.Domain]int{"here": full, "there": c.demand})
			l.ClearSlots()
			l.AddSlots("here", 10)
			l.AddSlots("there", c.slots)
			cost := l.Cost(c.after, "there", c.bytes)
			NewWithT(t).Expect(cost).To(And(BeNumerically("<=", c.atMost), BeNumerically(">=", c.least)))
		})
	}
}

// Guards against a domain that goes on lending while its own demand rises: a wave has to raise the
// cost before the domain's slots are full, and let it fall again after the wave.
func TestLentCapacityComesBack(t *testing.T) {
	g := NewWithT(t)
	l := NewLedger(prices)
	l.AddSlots("there", 10)
	play(&l, 0, 4*time.Second, map[ident.Domain]int{"there": 20})
	low := l.Cost(4*time.Second, "there", 0)
	play(&l, 4*time.Second, 6*time.Second, map[ident.Domain]int{"there": 85})
	rising := l.Cost(6*time.Second, "there", 0)
	play(&l, 6*time.Second, 10*time.Second, map[ident.Domain]int{"there": 20})
	fallen := l.Cost(10*time.Second, "there", 0)
	g.Expect(low).To(BeNumerically("<", 50*time.Millisecond))
	g.Expect(rising).To(BeNumerically(">", rules.CrossDomainPenalty/4))
	g.Expect(fallen).To(BeNumerically("<", 50*time.Millisecond))
}
