package keyledger

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// record is a key that this host holds for a run.
type record struct {
	key         string
	request     ident.Request
	custodian   ident.Host
	fingerprint uint64
	// receivedAt is when the run was recorded, expires when the retention ends.
	receivedAt time.Duration
	expires    time.Duration
	// decided is set if a sender said that the run may have been dispatched.
	decided bool
	// seq is the sequence number of copies sent to other holders; 0 before the
	// first.
	seq uint64
	// holders are the holders that have confirmed a copy or were asked by the
	// run's custodian itself.
	holders []holder
}

// Receive handles a KeyNote or KeyAnswer and ignores other messages.
func (s *System) Receive(now time.Duration, env *peerpb.Envelope, out *system.Outbox) {
	s.updateHosts(now, out)
	from := holder{host: ident.Host(env.GetFrom()), incarnation: env.GetIncarnation()}
	switch body := env.GetBody().(type) {
	case *peerpb.Envelope_KeyNote:
		s.handleNote(now, from.host, body.KeyNote, out)
	case *peerpb.Envelope_KeyAnswer:
		s.handleAnswer(now, from, body.KeyAnswer, out)
	}
}

// handleNote records the run of a key, or answers with the run that the key is
// already held for. A run that may have been dispatched replaces one that can't
// have been.
func (s *System) handleNote(now time.Duration, from ident.Host, m *peerpb.KeyNote, out *system.Outbox) {
	if m.GetKey() == "" || m.GetRequest() == "" {
		return
	}
	if m.GetRelease() {
		s.handleRelease(m)
		return
	}
	answer := &peerpb.KeyAnswer{Seq: m.GetSeq()}
	held := s.records[m.GetKey()]
	switch {
	case held != nil && held.request == ident.Request(m.GetRequest()):
		answer.First = true
		held.decided = held.decided || m.GetSure()
		s.extend(now, held)
	case held != nil && m.GetSure() && !held.mayHaveRun(now):
		s.forget(held)
		answer.First = true
		s.addRecord(now, from, m)
	case held != nil:
		answer.Custodian = string(held.custodian)
		answer.Request = string(held.request)
		answer.Fingerprint = held.fingerprint
	case len(s.records) >= MaxKeys:
		answer.Full = true
	default:
		answer.First = true
		s.addRecord(now, from, m)
	}
	answer.Settled = s.hosts.settled(now, m.GetKey(), s.cfg.Self)
	if m.GetSeq() != 0 {
		out.Send(from, &peerpb.Envelope{Body: &peerpb.Envelope_KeyAnswer{KeyAnswer: answer}})
	}
}

// mayHaveRun reports whether the run may have been dispatched. That is assumed
// once the record is older than any query gets: by then the run was either told
// First or has had its record released.
func (r *record) mayHaveRun(now time.Duration) bool {
	return r.decided || now-r.receivedAt > HolderTimeout+ConflictTimeout
}

// addRecord records a run under its key.
func (s *System) addRecord(now time.Duration, from ident.Host, m *peerpb.KeyNote) {
	custodian := from
	if m.GetCustodian() != "" {
		custodian = ident.Host(m.GetCustodian())
	}
	n := &record{
		key:         m.GetKey(),
		request:     ident.Request(m.GetRequest()),
		custodian:   custodian,
		fingerprint: m.GetFingerprint(),
		receivedAt:  now,
		decided:     m.GetSure(),
		holders:     s.hosts.holders(m.GetKey()),
	}
	s.records[n.key] = n
	s.rebalance.add(entryRef{key: n.key})
	s.extend(now, n)
}

// extend restarts the retention of a record.
func (s *System) extend(now time.Duration, n *record) {
	n.expires = now + Retention
	s.expiry.push(now+Retention, entryRef{key: n.key})
}

// handleRelease forgets the record of a run that was not dispatched.
func (s *System) handleRelease(m *peerpb.KeyNote) {
	held := s.records[m.GetKey()]
	if held != nil && held.request == ident.Request(m.GetRequest()) {
		s.forget(held)
	}
}

// forget deletes a record.
func (s *System) forget(n *record) {
	delete(s.records, n.key)
	delete(s.refBySeq, n.seq)
}

// expire deletes the records and the finished runs whose retention has passed.
func (s *System) expire(now time.Duration) {
	for {
		ref, ok := s.expiry.pop(now)
		if !ok {
			return
		}
		if ref.request != "" {
			if r := s.runs[ref.request]; r != nil && r.finished && now >= r.expires {
				delete(s.runs, ref.request)
				delete(s.refBySeq, r.seq)
			}
			continue
		}
		if n := s.records[ref.key]; n != nil && now >= n.expires {
			s.forget(n)
		}
	}
}
