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

// TestSuspectsAreForgottenWithTheirTime tells of one that is old already, and of more than
// are kept.
func TestSuspectsAreForgottenWithTheirTime(t *testing.T) {
	g := NewWithT(t)
	var out system.Outbox
	s := newAlone(&out)
	old := rules.SuspectRetention - time.Minute
	g.Expect(s.keepSuspect(time.Hour, pool.Suspect{Fingerprint: 1, Crashes: 1, Age: old})).To(BeTrue())
	g.Expect(s.keepSuspect(time.Hour, pool.Suspect{Fingerprint: 2, Crashes: 1, Age: rules.SuspectRetention + 1})).To(BeFalse(), "over")
	g.Expect(s.keepSuspect(time.Hour, pool.Suspect{Fingerprint: 3, Crashes: 4, Quarantined: true, Age: old})).To(BeTrue())
	told := s.Suspects(time.Hour + time.Second)
	g.Expect(told).To(HaveLen(2))
	g.Expect(told[0].GetAgeUs()).To(Equal((old + time.Second).Microseconds()))

	s.Tick(time.Hour+2*time.Minute, &out)
	g.Expect(s.Suspects(time.Hour)).To(HaveLen(1), "the quarantined one stays")
	for n := range uint64(2 * rules.MaxSuspects) {
		s.keepSuspect(2*time.Hour+time.Duration(n), pool.Suspect{Fingerprint: 10 + n, Crashes: 1})
	}
	kept := s.suspectList(2 * time.Hour)
	g.Expect(kept).To(HaveLen(rules.MaxSuspects))
	g.Expect(kept[0].Fingerprint).To(BeEquivalentTo(3))
	g.Expect(kept[1].Fingerprint).To(BeEquivalentTo(10+rules.MaxSuspects+1), "the oldest gave way")
}

// far is a view in which another domain has hosts, and maybe endpoints of the same target
// that are its own.
type far struct {
	alone
	endpoints []ident.Domain
}

func (far) Scheduler(p ident.Pool) (ident.Host, bool) {
	if p.Domain == "b" {
		return "far", true
	}
	return "self", true
}
func (v far) Domains(string) []ident.Domain { return v.endpoints }
func (far) HostDomains() []ident.Domain     { return []ident.Domain{"a", "b"} }

// TestOtherDomainsHearOfSuspectsAfterACut checks that the scheduler of the same target in
// another domain is told again and again, in case it wasn't reached before.
func TestOtherDomainsHearOfSuspectsAfterACut(t *testing.T) {
	// On the users' platform each region takes all endpoints for its own.
	t.Run("endpoints in both", func(t *testing.T) { tellFar(t, "a", "b") })
	t.Run("each has all endpoints", func(t *testing.T) { tellFar(t, "a") })
}

func tellFar(t *testing.T, endpoints ...ident.Domain) {
	g := NewWithT(t)
	var out system.Outbox
	s := newAlone(&out)
	s.cfg.View = far{endpoints: endpoints}
	for _, h := range []ident.Host{"other", "self"} {
		s.Receive(time.Millisecond, Process{h, 1}, told(0), &out)
	}
	s.keepSuspect(time.Millisecond, pool.Suspect{Fingerprint: 1, Crashes: 4, Quarantined: true, Repeats: true})
	for round := range 2 {
		out = system.Outbox{}
		s.Tick(time.Duration(round+1)*time.Second, &out)
		var heard []*peerpb.Suspect
		for _, send := range out.Sends {
			if q := send.Message.GetQuarantine(); q != nil && send.To == "far" {
				heard = q.GetSuspects()
			}
		}
		g.Expect(heard).To(HaveLen(1))
		g.Expect(heard[0].GetQuarantined()).To(BeTrue())
		g.Expect(heard[0].GetRepeats()).To(BeTrue())
	}
}
