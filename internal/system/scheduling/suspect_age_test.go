package scheduling

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// TestSuspectsExpire records a suspect close to its retention, one beyond it, and more
// suspects than are kept.
func TestSuspectsExpire(t *testing.T) {
	g := NewWithT(t)
	var out system.Outbox
	s := newTestSystem(&out)
	old := rules.SuspectRetention - time.Minute
	g.Expect(s.recordSuspect(time.Hour, pool.Suspect{Fingerprint: 1, Crashes: 1, Age: old})).To(BeTrue())
	g.Expect(s.recordSuspect(time.Hour, pool.Suspect{Fingerprint: 2, Crashes: 1, Age: rules.SuspectRetention + 1})).To(BeFalse(), "over")
	g.Expect(s.recordSuspect(time.Hour, pool.Suspect{Fingerprint: 3, Crashes: 4, Quarantined: true, Age: old})).To(BeTrue())
	recorded := s.Suspects(time.Hour + time.Second)
	g.Expect(recorded).To(HaveLen(2))
	g.Expect(recorded[0].GetAgeUs()).To(Equal((old + time.Second).Microseconds()))

	s.Tick(time.Hour+2*time.Minute, &out)
	g.Expect(s.Suspects(time.Hour)).To(HaveLen(1), "the quarantined suspect is kept")
	for n := range uint64(2 * rules.MaxSuspects) {
		s.recordSuspect(2*time.Hour+time.Duration(n), pool.Suspect{Fingerprint: 10 + n, Crashes: 1})
	}
	kept := s.sortedSuspects(2 * time.Hour)
	g.Expect(kept).To(HaveLen(rules.MaxSuspects))
	g.Expect(kept[0].Fingerprint).To(BeEquivalentTo(3))
	g.Expect(kept[1].Fingerprint).To(BeEquivalentTo(10+rules.MaxSuspects+1), "the oldest was evicted")
}

// twoDomainView is a view with hosts in another domain, which may also have endpoints of
// the same target.
type twoDomainView struct {
	twoHostView
	endpoints []ident.Domain
}

func (twoDomainView) Scheduler(p ident.Pool) (ident.Host, bool) {
	if p.Domain == "b" {
		return "far", true
	}
	return "self", true
}
func (v twoDomainView) Domains(string) []ident.Domain { return v.endpoints }
func (twoDomainView) HostDomains() []ident.Domain     { return []ident.Domain{"a", "b"} }

// TestSuspectsAreResentToOtherDomains checks that suspects are sent periodically to the
// scheduler of the same target in another domain, which may have been unreachable before.
func TestSuspectsAreResentToOtherDomains(t *testing.T) {
	// On the users' platform, each region lists all endpoints as its own.
	t.Run("endpoints in both", func(t *testing.T) { testSuspectsResent(t, "a", "b") })
	t.Run("each has all endpoints", func(t *testing.T) { testSuspectsResent(t, "a") })
}

func testSuspectsResent(t *testing.T, endpoints ...ident.Domain) {
	g := NewWithT(t)
	var out system.Outbox
	s := newTestSystem(&out)
	s.cfg.View = twoDomainView{endpoints: endpoints}
	for _, h := range []ident.Host{"other", "self"} {
		s.Receive(time.Millisecond, Process{h, 1}, holdingsReply(0), &out)
	}
	s.recordSuspect(time.Millisecond, pool.Suspect{Fingerprint: 1, Crashes: 4, Quarantined: true, Repeats: true})
	for round := range 2 {
		out = system.Outbox{}
		s.Tick(time.Duration(round+1)*time.Second, &out)
		var received []*peerpb.Suspect
		for _, send := range out.Sends {
			if q := send.Message.GetQuarantine(); q != nil && send.To == "far" {
				received = q.GetSuspects()
			}
		}
		g.Expect(received).To(HaveLen(1))
		g.Expect(received[0].GetQuarantined()).To(BeTrue())
		g.Expect(received[0].GetRepeats()).To(BeTrue())
	}
}
