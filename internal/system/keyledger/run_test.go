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

// testLedger is a ledger whose holders "a" and "b" are played by the test.
type testLedger struct {
	*System
	out system.Outbox
}

func newTestLedger() *testLedger {
	view := fixedView{
		{Host: "a", Incarnation: 1, Domain: "d"},
		{Host: "b", Incarnation: 1, Domain: "d"},
	}
	return &testLedger{System: New(Config{Self: "self", View: view})}
}

func (l *testLedger) answer(now time.Duration, from string, m *peerpb.KeyAnswer) {
	m.Seq = 1
	env := &peerpb.Envelope{From: from, Incarnation: 1, Body: &peerpb.Envelope_KeyAnswer{KeyAnswer: m}}
	l.Receive(now, env, &l.out)
}

// TestAnswerFromBeforeSettlingIsIgnored lets a holder that isn't settled
// confirm a run before the other holder has settled. The first may learn of an
// earlier run in between, so its old answer must not count.
func TestAnswerFromBeforeSettlingIsIgnored(t *testing.T) {
	g := NewWithT(t)
	a := newTestLedger()
	a.Register(0, Run{Key: "key", Request: "second"}, &a.out)
	a.answer(time.Millisecond, "a", &peerpb.KeyAnswer{First: true})
	a.answer(time.Millisecond, "b", &peerpb.KeyAnswer{First: true})
	a.Tick(SettleTime, &a.out)
	a.answer(SettleTime+time.Millisecond, "b", &peerpb.KeyAnswer{First: true, Settled: true})
	g.Expect(a.Take()).To(BeEmpty())
	a.answer(SettleTime+time.Millisecond, "a", &peerpb.KeyAnswer{Custodian: "c", Request: "first", Settled: true})
	a.Tick(SettleTime+2*ConflictTimeout, &a.out)
	a.Tick(SettleTime+3*ConflictTimeout, &a.out)
	g.Expect(a.Take()).NotTo(ContainElement(HaveField("Outcome", First)))
}

// TestFullLedgerRefusesNewKeys fills a holder: it refuses further keys, evicts
// none, and accepts new keys once the retention of old ones has passed.
func TestFullLedgerRefusesNewKeys(t *testing.T) {
	g := NewWithT(t)
	a := newTestLedger()
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
	g.Expect(note(time.Second, "A0s").First).To(BeTrue()) // a refresh of the same run
	a.Tick(Retention+time.Millisecond, &a.out)
	g.Expect(a.Stats().Held).To(Equal(1)) // the refreshed record
	g.Expect(note(Retention+time.Millisecond, "more").First).To(BeTrue())
}

// TestActiveRunIsNotForgotten keeps a run active for longer than the
// retention: its records are refreshed in time, and it is kept until Finish.
func TestActiveRunIsNotForgotten(t *testing.T) {
	g := NewWithT(t)
	a := newTestLedger()
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
