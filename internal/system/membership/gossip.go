package membership

import (
	"cmp"
	"slices"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
)

// changesFor returns what changed since the host last acknowledged a ping,
// oldest first and at most maxGossip, and the gossip clock that its
// acknowledgement will stand for. What was learned from the host itself is
// left out.
func (s *System) changesFor(host ident.Host) ([]*peerpb.Member, uint64) {
	acked := s.acked[host]
	if acked == s.gossipClock {
		return nil, acked
	}
	var changed []*entry
	for _, name := range s.order {
		if e := s.table[name]; e.changed > acked {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.changed, b.changed) })
	through := s.gossipClock
	var members []*peerpb.Member
	for _, e := range changed {
		if e.learnedFrom == host {
			continue
		}
		if len(members) == maxGossip {
			break
		}
		members = append(members, toWire(&e.Member, acked >= e.introduced))
		through = e.changed
	}
	if len(members) < maxGossip {
		through = s.gossipClock
	}
	return members, through
}

// whole returns the whole table, for a host that has just started.
func (s *System) whole() []*peerpb.Member {
	members := make([]*peerpb.Member, 0, len(s.order))
	for _, host := range s.order {
		members = append(members, toWire(&s.table[host].Member, false))
	}
	return members
}

// newPing returns the ping with the last sequence number.
func (s *System) newPing(members []*peerpb.Member) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Ping{
		Ping: &peerpb.Ping{Seq: s.seq, Members: members, Fresh: s.fresh},
	}}
}

// ack wraps an Ack into an envelope.
func ack(seq uint64, members []*peerpb.Member) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Ack{Ack: &peerpb.Ack{Seq: seq, Members: members}}}
}

// pingReq wraps a PingReq into an envelope.
func pingReq(seq uint64, target ident.Host) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_PingReq{PingReq: &peerpb.PingReq{Seq: seq, Target: string(target)}}}
}
