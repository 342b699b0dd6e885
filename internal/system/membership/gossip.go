package membership

import (
	"cmp"
	"slices"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
)

// progress is how much of the table's changes a host has acknowledged.
//
// Invariant: complete <= through.
type progress struct {
	// through is the gossip clock up to which the host has every change that was
	// not replaced by a later one.
	through uint64
	// complete is the gossip clock at which the host last had every change. It
	// knows all rows introduced by then. It may not know a row introduced by
	// through, if the row changed again before it was sent.
	complete uint64
}

// changesFor returns the rows that changed since the host last acknowledged a
// ping, oldest change first and at most maxGossip, and the progress that its next
// acknowledgement confirms. Rows learned from the host itself are left out.
func (s *System) changesFor(host ident.Host) ([]*peerpb.Member, progress) {
	acked := s.acked[host]
	if acked.complete == s.gossipClock {
		return nil, acked
	}
	var members []*peerpb.Member
	for _, e := range s.changedAfter(acked.through) {
		if e.learnedFrom == host {
			continue
		}
		if len(members) == maxGossip {
			return members, acked
		}
		members = append(members, toWire(&e.Member, acked.complete >= e.introduced))
		acked.through = e.changed
	}
	return members, progress{through: s.gossipClock, complete: s.gossipClock}
}

// changedAfter returns the rows that changed after a gossip clock, oldest
// change first.
func (s *System) changedAfter(clock uint64) []*entry {
	var changed []*entry
	for _, name := range s.order {
		if e := s.table[name]; e.changed > clock {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int { return cmp.Compare(a.changed, b.changed) })
	return changed
}

// fullTable returns the whole table, for a host that has just started and has none. A host
// that has just started itself leaves out what it only knows from the platform's list.
func (s *System) fullTable() []*peerpb.Member {
	members := make([]*peerpb.Member, 0, len(s.order))
	for _, host := range s.order {
		if e := s.table[host]; !s.fresh || !e.listed {
			members = append(members, toWire(&e.Member, false))
		}
	}
	return members
}

// newPing returns a ping with the current sequence number. It asks for the whole table if this
// host has none and has not asked too many hosts.
func (s *System) newPing(to ident.Host, members []*peerpb.Member) *peerpb.Envelope {
	ask := s.fresh && !s.asked[to] && s.tableRequests < maxTableRequests
	if ask {
		s.asked[to] = true
		s.tableRequests++
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Ping{
		Ping: &peerpb.Ping{Seq: s.seq, Members: members, Fresh: ask},
	}}
}

// allowTableRequests starts a round of requests for the whole table. Once all hosts that are
// pinged were asked, they are asked again.
func (s *System) allowTableRequests() {
	if s.tableRequests == 0 {
		clear(s.asked)
	}
	s.tableRequests = 0
}

// ack wraps an Ack into an envelope.
func ack(seq uint64, members []*peerpb.Member) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Ack{Ack: &peerpb.Ack{Seq: seq, Members: members}}}
}

// pingReq wraps a PingReq into an envelope.
func pingReq(seq uint64, target ident.Host) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_PingReq{PingReq: &peerpb.PingReq{Seq: seq, Target: string(target)}}}
}
