package membership

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// Receive takes a Ping, Ack or PingReq; other messages are ignored.
func (s *System) Receive(now time.Duration, env *peerpb.Envelope, out *system.Outbox) {
	from := ident.Host(env.GetFrom())
	if from == "" || from == s.cfg.Self || s.departed {
		return
	}
	known := s.table[from]
	if known != nil && env.GetIncarnation() < known.Incarnation {
		return
	}
	if known != nil && env.GetIncarnation() > known.Incarnation {
		// The host has restarted and knows nothing of what it acknowledged.
		delete(s.acked, from)
	}
	switch body := env.GetBody().(type) {
	case *peerpb.Envelope_Ping:
		s.onPing(now, from, body.Ping, out)
	case *peerpb.Envelope_Ack:
		s.onAck(now, env, body.Ack, out)
	case *peerpb.Envelope_PingReq:
		s.onPingReq(now, from, body.PingReq, out)
	}
}

// onPing takes the gossip and answers. A host that has just started gets the
// whole table; one that is thought suspect or dead is told so, that it may
// refute it.
func (s *System) onPing(now time.Duration, from ident.Host, m *peerpb.Ping, out *system.Outbox) {
	s.mergeAll(now, from, m.GetMembers())
	var members []*peerpb.Member
	if m.GetFresh() {
		members = s.whole()
	} else if e := s.table[from]; e != nil && (e.State == Suspect || e.State == Dead) {
		members = append(members, toWire(&e.Member, false))
	}
	out.Send(from, ack(m.GetSeq(), members))
}

// onAck takes the gossip and ends the probe that the answer belongs to.
func (s *System) onAck(now time.Duration, env *peerpb.Envelope, m *peerpb.Ack, out *system.Outbox) {
	from := ident.Host(env.GetFrom())
	s.mergeAll(now, from, m.GetMembers())
	p, ok := s.probes[m.GetSeq()]
	if !ok {
		return
	}
	delete(s.probes, m.GetSeq())
	s.fresh = s.fresh && len(m.GetMembers()) == 0
	s.answered(m.GetSeq())
	if e, ok := s.table[p.target]; ok && e.State == Leaving {
		// What keeps a leaving host from death is its answer: it has no better
		// state to refute a suspicion with.
		delete(s.suspected, p.target)
	}
	if from == p.target {
		s.noteAnswer(now, env, p)
	}
	if r, ok := s.relays[m.GetSeq()]; ok {
		delete(s.relays, m.GetSeq())
		out.Send(r.asker, ack(r.seq, nil))
	}
}

// noteAnswer notes a direct answer: the gossip of the ping has arrived, and the
// domain of the host can be reached.
func (s *System) noteAnswer(now time.Duration, env *peerpb.Envelope, p *probe) {
	e, ok := s.table[p.target]
	if !ok {
		return
	}
	if env.GetIncarnation() == p.incarnation && e.Incarnation == p.incarnation {
		acked := s.acked[p.target]
		s.acked[p.target] = progress{
			through: max(acked.through, p.carried.through),
			whole:   max(acked.whole, p.carried.whole),
		}
	}
	s.heard[e.Domain] = now
	s.misses[e.Domain] = 0
}

// onPingReq probes the target on the asker's behalf.
func (s *System) onPingReq(now time.Duration, from ident.Host, m *peerpb.PingReq, out *system.Outbox) {
	target := ident.Host(m.GetTarget())
	if _, known := s.table[target]; !known || target == s.cfg.Self {
		return
	}
	seq := s.sendPing(now, &probe{target: target}, nil, out)
	s.relays[seq] = relay{asker: from, seq: m.GetSeq()}
}

// mergeAll takes what another host says of members.
func (s *System) mergeAll(now time.Duration, from ident.Host, members []*peerpb.Member) {
	for _, w := range members {
		m, ok := fromWire(w)
		if !ok {
			continue
		}
		if m.Host == s.cfg.Self {
			s.mergeSelf(now, &m)
			continue
		}
		s.merge(now, from, m)
	}
}

// merge takes what another host says of a third one.
func (s *System) merge(now time.Duration, from ident.Host, m Member) {
	e, known := s.table[m.Host]
	if known && !overrides(&m, &e.Member) {
		return
	}
	if m.Domain == "" {
		// A brief entry: the rest is in the row, if the row is of the same
		// incarnation.
		if !known || e.Incarnation != m.Incarnation {
			return
		}
		m.Domain, m.Address, m.Capacity = e.Domain, e.Address, e.Capacity
	}
	// Only the host itself raises the version: a death under the known one is
	// the others' verdict.
	verdict := known && e.Incarnation == m.Incarnation && e.Version == m.Version
	if known {
		s.replace(m, from)
	} else {
		s.insert(m, from)
	}
	s.noteState(now, &m)
	if verdict && m.State == Dead {
		s.lost[m.Host] = true
	} else {
		delete(s.lost, m.Host)
	}
}

// noteState starts or stops the suspicion of a host after its row changed.
// Only hosts of the same domain time a suspicion; the others wait for their
// verdict.
func (s *System) noteState(now time.Duration, m *Member) {
	switch m.State {
	case Dead:
		s.noteDead(now, m.Host)
		return
	case Suspect:
		if _, already := s.suspected[m.Host]; !already && m.Domain == s.cfg.Domain {
			s.suspected[m.Host] = now + SuspicionTimeout
		}
	default:
		delete(s.suspected, m.Host)
	}
	delete(s.diedAt, m.Host)
}

// mergeSelf answers what is said of this host: anything worse than its own
// word is refuted under a higher version.
func (s *System) mergeSelf(now time.Duration, m *Member) {
	self := s.self()
	switch {
	case m.Incarnation > self.Incarnation:
		s.superseded = true
		return
	case m.Incarnation < self.Incarnation, !overrides(m, &self.Member):
		return
	}
	if m.State == Dead {
		s.beginRejoin(now)
	}
	s.amendSelf(func(own *Member) { own.Version = max(own.Version, m.Version) })
}
