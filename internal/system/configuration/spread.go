package configuration

import (
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/rendezvous"
	"github.com/trefoilchute/trefoilchute/internal/system"
	"github.com/trefoilchute/trefoilchute/internal/system/membership"
)

// pull is an unanswered request for a newer revision.
type pull struct {
	from     ident.Host
	deadline time.Duration
}

// Receive handles a ConfigOffer, ConfigPull or ConfigState; other messages are
// ignored.
func (s *System) Receive(now time.Duration, env *peerpb.Envelope, out *system.Outbox) {
	from := ident.Host(env.GetFrom())
	switch body := env.GetBody().(type) {
	case *peerpb.Envelope_ConfigOffer:
		s.onOffer(now, from, body.ConfigOffer, out)
	case *peerpb.Envelope_ConfigPull:
		s.onPull(from, body.ConfigPull, out)
	case *peerpb.Envelope_ConfigState:
		s.onState(now, from, body.ConfigState, out)
	}
}

// offer announces the revision in force to the hosts of fanOut, except those known to
// have it.
func (s *System) offer(out *system.Outbox) {
	message := &peerpb.Envelope{Body: &peerpb.Envelope_ConfigOffer{
		ConfigOffer: &peerpb.ConfigOffer{Revision: s.revision()},
	}}
	for _, host := range s.fanOut() {
		if s.offers[host] < s.revision() {
			out.Send(host, message)
		}
	}
}

// fanOut returns the hosts that this host makes offers to: one host in each other
// domain, and in its own domain those at the offsets 1, 2, 4 and so on in the sorted
// list. So an offer reaches every host in a number of steps that grows with the
// logarithm of the domain's size.
func (s *System) fanOut() []ident.Host {
	hosts := s.cfg.View.Alive(s.cfg.Domain)
	own, _ := slices.BinarySearch(hosts, s.cfg.Self)
	var to []ident.Host
	for offset := 1; offset < len(hosts); offset *= 2 {
		to = append(to, hosts[(own+offset)%len(hosts)])
	}
	for _, domain := range s.cfg.View.Domains() {
		if domain != s.cfg.Domain {
			to = append(to, rendezvous.Pick(string(s.cfg.Self), s.cfg.View.Alive(domain), 1)...)
		}
	}
	return slices.DeleteFunc(to, func(h ident.Host) bool { return h == s.cfg.Self })
}

// onOffer records which revision a host has and pulls it if it is newer.
func (s *System) onOffer(now time.Duration, from ident.Host, m *peerpb.ConfigOffer, out *system.Outbox) {
	s.offers[from] = max(s.offers[from], m.GetRevision())
	if m.GetRevision() > s.revision() && s.pull == nil {
		s.pullFrom(now, from, out)
	}
}

// pullFrom asks a host for a revision newer than the one in force.
func (s *System) pullFrom(now time.Duration, from ident.Host, out *system.Outbox) {
	s.pull = &pull{from: from, deadline: now + pullTimeout}
	out.Send(from, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigPull{
		ConfigPull: &peerpb.ConfigPull{After: s.revision()},
	}})
}

// onPull answers with a delta or a snapshot, or with an offer of the revision in force
// if that isn't newer.
func (s *System) onPull(from ident.Host, m *peerpb.ConfigPull, out *system.Outbox) {
	if s.current == nil {
		return
	}
	state := s.history.since(m.GetAfter())
	if state == nil {
		out.Send(from, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigOffer{
			ConfigOffer: &peerpb.ConfigOffer{Revision: s.revision()},
		}})
		return
	}
	s.offers[from] = max(s.offers[from], state.Revision)
	out.Send(from, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigState{ConfigState: state}})
}

// onState adopts a state if it can be decoded. Otherwise the state is counted as
// rejected, and the sender isn't asked again until its next offer.
func (s *System) onState(now time.Duration, from ident.Host, m *peerpb.ConfigState, out *system.Outbox) {
	if s.pull != nil && s.pull.from == from {
		s.pull = nil
	}
	if m.GetRevision() > s.revision() {
		next, err := decodeState(s.current, m)
		if err == nil {
			s.offers[from] = max(s.offers[from], next.Revision)
			s.adopt(now, next, string(from), out)
		} else {
			s.status.Rejected++
			delete(s.offers, from)
		}
	}
	s.pullNewer(now, "", out)
}

// expirePull pulls from another host if the pull has timed out.
func (s *System) expirePull(now time.Duration, out *system.Outbox) {
	if s.pull == nil || now < s.pull.deadline {
		return
	}
	slow := s.pull.from
	s.pull = nil
	delete(s.offers, slow)
	s.pullNewer(now, slow, out)
}

// pullNewer pulls from a random host, other than not, that offered a newer revision.
func (s *System) pullNewer(now time.Duration, not ident.Host, out *system.Outbox) {
	if s.pull != nil {
		return
	}
	var hosts []ident.Host
	for host, revision := range s.offers {
		if revision > s.revision() && host != not {
			hosts = append(hosts, host)
		}
	}
	if len(hosts) == 0 {
		return
	}
	slices.Sort(hosts)
	s.pullFrom(now, hosts[s.rand.IntN(len(hosts))], out)
}

// pullMissed pulls a newer revision that a member is known to have but that no offer
// has announced, and removes the offers of dead hosts.
func (s *System) pullMissed(now time.Duration, out *system.Outbox) {
	var near, far []ident.Host
	gone := map[ident.Host]bool{}
	for _, m := range s.cfg.View.Members() {
		switch {
		case m.State == membership.Dead:
			gone[m.Host] = true
		case m.Revision <= s.revision() || m.Host == s.cfg.Self:
		case m.Domain == s.cfg.Domain:
			near = append(near, m.Host)
		default:
			far = append(far, m.Host)
		}
	}
	for host := range gone {
		delete(s.offers, host)
	}
	if s.pull != nil {
		return
	}
	// Every other time a host of another domain is asked even if there are near
	// ones, because these may all announce a revision that they can't provide.
	hosts := near
	if len(near) == 0 || len(far) > 0 && s.rand.IntN(2) == 0 {
		hosts = far
	}
	if len(hosts) > 0 {
		s.pullFrom(now, hosts[s.rand.IntN(len(hosts))], out)
	}
}
