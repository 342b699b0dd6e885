package keyledger

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/system"
	"github.com/trefoilchute/trefoilchute/internal/system/membership"
)

// fixedView is a membership that doesn't change.
type fixedView []membership.Member

func (v fixedView) Members() []membership.Member               { return v }
func (v fixedView) Version() uint64                            { return 1 }
func (v fixedView) Domains() []ident.Domain                    { return []ident.Domain{"d"} }
func (v fixedView) Reachable(time.Duration, ident.Domain) bool { return true }
func (v fixedView) Fresh() bool                                { return false }
func (v fixedView) Minority() bool                             { return false }
func (v fixedView) StableSince(time.Duration) bool             { return true }
func (v fixedView) Paused(time.Duration) bool                  { return false }

// asker is a ledger whose holders "a" and "b" the test plays.
type asker struct {
	*System
	out system.Outbox
}

func newAsker() *asker {
	view := fixedView{
		{Host: "a", Incarnation: 1, Domain: "d"},
		{Host: "b", Incarnation: 1, Domain: "d"},
	}
	return &asker{System: New(Config{Self: "self", View: view})}
}

func (a *asker) answer(now time.Duration, from string, m *peerpb.KeyAnswer) {
	m.Seq = 1
	env := &peerpb.Envelope{From: from, Incarnation: 1, Body: &peerpb.Envelope_KeyAnswer{KeyAnswer: m}}
	a.Receive(now, env, &a.out)
}

// TestAnswerBeforeSettlingDoesNotCount lets a holder that wasn't sure answer
// before the other was: it may have learned of a run in between.
func TestAnswerBeforeSettlingDoesNotCount(t *testing.T) {
	g := NewWithT(t)
	a := newAsker()
	a.Register(0, Run{Key: "key", Request: "second"}, &a.out)
	a.answer(time.Millisecond, "a", &peerpb.KeyAnswer{First: true})
	a.answer(time.Millisecond, "b", &peerpb.KeyAnswer{First: true})
	a.Tick(SettleTime, &a.out)
	a.answer(SettleTime+time.Millisecond, "b", &peerpb.KeyAnswer{First: true, Settled: true})
	g.Expect(a.Take()).To(BeEmpty())
	a.answer(SettleTime+time.Millisecond, "a", &peerpb.KeyAnswer{Custodian: "c", Request: "first", Settled: true})
	a.Tick(SettleTime+2*ContestTimeout, &a.out)
	a.Tick(SettleTime+3*ContestTimeout, &a.out)
	g.Expect(a.Take()).NotTo(ContainElement(HaveField("Outcome", First)))
}

// TestFullLedgerRefuses fills a holder: it takes no further key, forgets none,
// and takes keys again once the retention of some is over.
func TestFullLedgerRefuses(t *testing.T) {
	g := NewWithT(t)
	a := newAsker()
	note := func(now time.Duration, key string) *peerpb.KeyAnswer {
		var out system.Outbox
		env := &peerpb.Envelope{From: "c", Incarnation: 1, Body: &peerpb.Envelope_KeyNote{
			KeyNote: &peerpb.KeyNote{Seq: 1, Key: key, Request: "run of " + key},
		}}
		a.Receive(now, env, &out)
		return out.Sends[0].Message.GetKeyAnswer()
	}
	for i := range MaxKeys {
		g.Expect(note(0, string(rune('A'+i%26))+time.Duration(i).String()).First).To(BeTrue())
	}
	g.Expect(note(time.Second, "more").Full).To(BeTrue())
	g.Expect(note(time.Second, "A0s").First).To(BeTrue()) // the same run again
	a.Tick(Retention+time.Millisecond, &a.out)
	g.Expect(a.Stats().Held).To(Equal(1)) // the one that was noted again
	g.Expect(note(Retention+time.Millisecond, "more").First).To(BeTrue())
}

// TestRunUnderWayIsNotForgotten keeps a run for longer than the retention: its
// holders are told again in time, and it is kept until it has finished.
func TestRunUnderWayIsNotForgotten(t *testing.T) {
	g := NewWithT(t)
	a := newAsker()
	a.Register(0, Run{Key: "key", Request: "run"}, &a.out)
	a.answer(0, "a", &peerpb.KeyAnswer{First: true, Settled: true})
	a.answer(0, "b", &peerpb.KeyAnswer{First: true, Settled: true})
	g.Expect(a.Take()).To(HaveLen(1))
	last := time.Duration(0)
	for now := time.Duration(0); now < 4*Retention; now += time.Minute {
		a.out = system.Outbox{}
		a.Tick(now, &a.out)
		if len(a.out.Sends) > 0 {
			last = now
		}
		g.Expect(now - last).To(BeNumerically("<", Retention))
	}
	g.Expect(a.Stats().Runs).To(Equal(1))
	a.Finish(4*Retention, "run")
	a.Tick(5*Retention, &a.out)
	g.Expect(a.Stats().Runs).To(BeZero())
}
