package control

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
)

// newScheduler returns a core that schedules the pool of its only domain.
func newScheduler() *observedCore {
	s := &observedCore{Core: New(Config{Self: "self", Incarnation: 1, Domain: "a", External: true})}
	s.step(HostsListed{})
	s.declare(1, 1)
	return s
}

func panicking(*Core) { panic("fault") }

func arrival(id ident.Request) Event {
	return Arrived{Arrival: custody.Arrival{ID: id, Target: "m", Deadline: time.Hour}}
}

// Guards against one event that ends a host's scheduling for good (review/6): the events beside it
// are applied.
func TestEventThatPanicsIsDropped(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler()
	effects := s.Step(s.now, 0, []Event{arrival("before"), inspection{run: panicking}, arrival("after")})
	g.Expect(effects.Dropped).To(HaveLen(1))
	g.Expect(effects.Dropped[0].Event).To(Equal("control.inspection"))
	g.Expect(effects.Dropped[0].Reason).To(Equal("fault"))
	g.Expect(effects.Dropped[0].Stack).To(ContainSubstring("protect_test.go"))
	waiting, dispatched, _ := s.Counts()
	g.Expect(waiting + dispatched).To(Equal(2))
}

// Guards against a request that is passed from one scheduler that panics on it to the next.
func TestRequestThatPanicsItsSchedulerIsRefused(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler()
	m := peerpb.Wrap(&peerpb.Envelope_Submit{Submit: &peerpb.Submit{Request: "odd", Target: "m", Domain: "a"}})
	m.From, m.Incarnation = "other", 7
	epoch := func() uint64 {
		for _, p := range s.Pools() {
			if p.Detail != nil {
				return p.Detail.Epoch
			}
		}
		return 0
	}
	g.Expect(epoch()).NotTo(BeZero())
	s.handleProtected(m, func(*peerpb.Envelope) { panic("fault") })
	effects := s.Step(s.now, 0, nil)
	var refused []*peerpb.Refuse
	for _, send := range effects.Sends {
		if r := send.Message.GetRefuse(); r != nil && send.To == "other" {
			refused = append(refused, r)
		}
	}
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].GetRequest()).To(Equal("odd"))
	g.Expect(result.Code(refused[0].GetCode())).To(Equal(result.Internal))
	served := map[ident.Request]bool{}
	events := []Event{arrival("sound")}
	for range 500 {
		for _, d := range s.Step(s.now, 0, events).Directives {
			served[d.ID] = served[d.ID] || d.Kind == custody.Connect
		}
		events, s.now = nil, max(s.now+time.Millisecond, s.NextWake())
	}
	g.Expect(served).To(HaveKeyWithValue(ident.Request("sound"), true), "the schedulers have started anew")
}

// A control state on which every event panics can't be used: the process has to end, not to go on
// without serving anybody.
func TestUnusableControlStatePanics(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler()
	var events []Event
	for range maxDropsInRow / 2 {
		events = append(events, inspection{run: panicking})
	}
	step := func(events ...Event) func() { return func() { s.Step(s.now, 0, events) } }
	g.Expect(step(events...)).NotTo(Panic())
	g.Expect(step()).NotTo(Panic())
	g.Expect(step(append(events[1:], arrival("sound"))...)).NotTo(Panic())
	g.Expect(step(events...)).NotTo(Panic())
	g.Expect(step(events...)).To(PanicWith(ContainSubstring("in a row")))
}

// A second fault shortly after a restart leaves the schedulers without their timers until the next one,
// and no longer.
func TestSchedulersStartAnewAfterASecondFault(t *testing.T) {
	g := NewWithT(t)
	s := newScheduler()
	for range 2 {
		s.handleProtected(&peerpb.Envelope{}, func(*peerpb.Envelope) { panic("fault") })
	}
	served := map[ident.Request]bool{}
	events, until := []Event{arrival("sound")}, s.now+3*restartInterval
	for s.now < until {
		for _, d := range s.Step(s.now, 0, events).Directives {
			served[d.ID] = served[d.ID] || d.Kind == custody.Connect
		}
		events, s.now = nil, max(s.now+time.Millisecond, s.NextWake())
	}
	g.Expect(served).To(HaveKeyWithValue(ident.Request("sound"), true))
	g.Expect(s.restartDue).To(BeFalse())
}

// Guards against callers that are held by a loop that takes no events.
func TestFullOrStoppedMailboxHoldsNobody(t *testing.T) {
	g := NewWithT(t)
	loop := NewLoop(New(Config{Self: "a1", Domain: "a", Incarnation: 1, External: true}))
	for range mailboxSize {
		g.Expect(loop.Offer(CallerLeft{ID: "x"}, time.Millisecond)).To(BeTrue())
	}
	g.Expect(loop.Offer(CallerLeft{ID: "x"}, time.Millisecond)).To(BeFalse(), "full")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	posted := make(chan struct{})
	go func() {
		defer close(posted)
		loop.Post(CallerLeft{ID: "x"})
		loop.Post(CallerLeft{ID: "x"})
	}()
	g.Consistently(posted, 50*time.Millisecond).ShouldNot(BeClosed())
	// The first event that Run selects may be the end or an event; both leave the mailbox full or stopped.
	loop.Connect(Ports{})
	runUntilDone(ctx, loop)
	g.Eventually(posted, 5*time.Second).Should(BeClosed(), "stopped")
	g.Expect(loop.Offer(CallerLeft{ID: "x"}, time.Second)).To(BeFalse())
}

// runUntilDone runs a loop whose steps have no effects until its context has ended.
func runUntilDone(ctx context.Context, loop *Loop) {
	loop.ports.SetPeers = func(map[ident.Host]string) {}
	loop.ports.Send = func(ident.Host, *peerpb.Envelope) bool { return true }
	loop.Run(ctx)
}
