package rollout

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestEndOfMove guards the last part of an order: the baseline must be idle and the store in reach
// before it is completed, candidates that don't carry the load give some back, and what can't be
// completed in time is rolled back or, if all has moved, completed.
func TestEndOfMove(t *testing.T) {
	const second = time.Second
	carried := Load{
		Candidates: []Candidate{{Name: "a", Slots: 4, Usable: true}, {Name: "b", Slots: 4, Usable: true}},
		Baseline:   2, BaselineSlots: 8, CandidateInFlight: 6,
	}
	with := func(change func(*Load)) Load {
		l := carried
		change(&l)
		return l
	}
	for _, c := range []struct {
		name string
		load Load
		// unconfirmed says that the store is not in reach.
		unconfirmed bool
		// at is the time after the order at which the phase is looked at.
		at    time.Duration
		phase Phase
	}{
		{"idle", carried, false, 52 * second, Finished},
		{"busy", with(func(l *Load) { l.BaselineInFlight = 1 }), false, 52 * second, Moved},
		{"busy until late", with(func(l *Load) { l.BaselineInFlight = 1 }), false, 58 * second, Finished},
		{"busy for others", with(func(l *Load) { l.BaselineForeign = 1 }), false, 51 * second, Moved},
		{"busy for others for long", with(func(l *Load) { l.BaselineForeign = 1 }), false, 54800 * time.Millisecond, Finished},
		{"store out of reach", carried, true, 59 * second, Moved},
		{"requests wait", with(func(l *Load) { l.CandidateInFlight, l.Waiting = 8, 20 }), false, 52 * second, Moving},
		{"a new endpoint lost", with(func(l *Load) {
			l.Candidates = l.Candidates[:1]
			l.CandidateInFlight = 8
		}), false, 52 * second, Moved},
		{"a new endpoint lost until late", with(func(l *Load) {
			l.Candidates = l.Candidates[:1]
			l.CandidateInFlight = 8
		}), false, 56 * second, Undone},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			status := Status{Order: Order{ID: 1, Version: "2", Duration: time.Minute}, Known: true, Confirmed: true}
			bounds := Bounds{Share: 0.1, Slack: 50, Rollback: 5 * second}
			o := NewController(0, status, bounds)
			now, first := time.Duration(0), true
			for ; now <= c.at; now += 200 * time.Millisecond {
				for _, candidate := range []bool{false, true} {
					o.Observe(now, &Sample{Candidate: candidate, Endpoint: "a", Route: 1, Local: true, Total: 1})
				}
				load := carried
				if o.Phase() == Moved || !first {
					if status.Confirmed = !c.unconfirmed; first {
						o.SetStatus(now, status, bounds)
					}
					first, load = false, c.load
				}
				o.Tick(now, &load)
			}
			g.Expect(o.Phase()).To(Equal(c.phase), "%+v", o.TakeSteps())
		})
	}
}

// TestPoissonTail guards the probability on which judgements rest.
func TestPoissonTail(t *testing.T) {
	for _, c := range []struct{ k, mean, want float64 }{
		{0, 1, 1},
		{1, 0, 0},
		{1, 1, 1 - math.Exp(-1)},
		{2, 1, 1 - 2*math.Exp(-1)},
		{3, 0.5, 1 - 1.625*math.Exp(-0.5)},
		{9, 0.9, 4.766e-7},
		{60, 100, 1},
	} {
		NewWithT(t).Expect(poissonTail(c.k, c.mean)).To(BeNumerically("~", c.want, 0.02*c.want+1e-9), "%+v", c)
	}
}
