package membership

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// Receive handles a Ping, Ack or PingReq; other messages are ignored.
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
		// The host has restarted and lost what it had acknowledged.
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

// onPing merges the gossip and answers. A host that has just started gets the whole
// table. A suspect or dead host gets its own row, so that it can refute it.
func (s *System) onPing(now time.Duration, from ident.Host, m *peerpb.Ping, out *system.Outbox) {
	s.mergeAll(now, from, m.GetMembers())
	var members []*peerpb.Member
	if m.GetFresh() {
		members = s.fullTable()
	} else if e := s.table[from]; e != nil && (e.State == Suspect || e.State == Dead) {
		members = append(members, toWire(&e.Member, false))
	}
	out.Send(from, ack(m.GetSeq(), members))
}

// onAck merges the gossip and ends the probe that was answered.
func (s *System) onAck(now time.Duration, env *peerpb.Envelope, m *peerpb.Ack, out *system.Outbox) {
	from := ident.Host(env.GetFrom())
	s.mergeAll(now, from, m.GetMembers())
	p, ok := s.probes[m.GetSeq()]
	if !ok {
		return
	}
	delete(s.probes, m.GetSeq())
	s.fresh = s.fresh && len(m.GetMembers()) == 0
	s.probeAnswered(m.GetSeq())
	if e, ok := s.table[p.target]; ok && e.State == Leaving {
		// An answer is enough to clear the suspicion of a leaving host, which
		// has no better state to refute it with.
		delete(s.suspected, p.target)
	}
	if from == p.target {
		s.recordAnswer(now, env, p)
	}
	if r, ok := s.relays[m.GetSeq()]; ok {
		delete(s.relays, m.GetSeq())
		out.Send(r.asker, ack(r.seq, nil))
	}
}

// recordAnswer records a direct answer: the ping's gossip has arrived, and the host's
// domain is reachable.
func (s *System) recordAnswer(now time.Duration, env *peerpb.Envelope, p *probe) {
	e, ok := s.table[p.target]
	if !ok {
		return
	}
	if env.GetIncarnation() == p.incarnation && e.Incarnation == p.incarnation {
		acked := s.acked[p.target]
		s.acked[p.target] = progress{
			through:  max(acked.through, p.carried.through),
			complete: max(acked.complete, p.carried.complete),
		}
	}
	s.answeredAt[e.Domain] = now
	s.misses[e.Domain] = 0
}

// onPingReq probes the target on the sender's behalf.
func (s *System) onPingReq(now time.Duration, from ident.Host, m *peerpb.PingReq, out *system.Outbox) {
	target := ident.Host(m.GetTarget())
	if _, known := s.table[target]; !known || target == s.cfg.Self {
		return
	}
	seq := s.sendPing(now, &probe{target: target}, nil, out)
	s.relays[seq] = relay{asker: from, seq: m.GetSeq()}
}

// mergeAll merges the rows that another host has sent.
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

// merge merges a row about another host.
func (s *System) merge(now time.Duration, from ident.Host, m Member) {
	e, known := s.table[m.Host]
	if known && !overrides(&m, &e.Member) {
		if e.listed && m.Incarnation == e.Incarnation {
			s.confirm(e, from)
		}
		return
	}
	if m.Domain == "" {
		// A brief row is completed from the known one of the same incarnation.
		if !known || e.Incarnation != m.Incarnation {
			return
		}
		m.Domain, m.Address, m.Capacity = e.Domain, e.Address, e.Capacity
	}
	// Only the host itself raises its version, so a death under the known version
	// was declared by others.
	declaredByOthers := known && e.Incarnation == m.Incarnation && e.Version == m.Version
	if known {
		s.replace(m, from)
	} else {
		s.insert(m, from)
	}
	s.updateSuspicion(now, &m)
	if declaredByOthers && m.State == Dead {
		s.lost[m.Host] = true
	} else {
		delete(s.lost, m.Host)
	}
}

// confirm records that another host knows a row of the platform's list. The row is sent on once,
// since a host that read the list earlier may lack it.
func (s *System) confirm(e *entry, from ident.Host) {
	s.gossipClock++
	e.listed, e.changed, e.learnedFrom = false, s.gossipClock, from
}

// updateSuspicion starts or ends the suspicion of a host after its row has changed.
// Only hosts of the same domain time out a suspicion; the others wait for them to
// declare the host dead.
func (s *System) updateSuspicion(now time.Duration, m *Member) {
	switch m.State {
	case Dead:
		s.markDead(now, m.Host)
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

// mergeSelf handles a row about this host. A row that overrides this host's own is
// refuted under a higher version.
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
