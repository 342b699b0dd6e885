package keyledger

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// note is a key that this host holds.
type note struct {
	key         string
	request     ident.Request
	custodian   ident.Host
	fingerprint uint64
	// since is when the note came, expires when its retention ends.
	since   time.Duration
	expires time.Duration
	// known says that the run may have been dispatched.
	known bool
	// seq is that of the copies to other holders; 0 before the first.
	seq uint64
	// holders are the other holders that have confirmed a copy, or were asked
	// by the run's custodian itself.
	holders []holder
}

// Receive takes a KeyNote or KeyAnswer; other messages are ignored.
func (s *System) Receive(now time.Duration, env *peerpb.Envelope, out *system.Outbox) {
	s.follow(now, out)
	from := holder{host: ident.Host(env.GetFrom()), incarnation: env.GetIncarnation()}
	switch body := env.GetBody().(type) {
	case *peerpb.Envelope_KeyNote:
		s.onNote(now, from.host, body.KeyNote, out)
	case *peerpb.Envelope_KeyAnswer:
		s.onAnswer(now, from, body.KeyAnswer, out)
	}
}

// onNote holds a key for a run, or tells of the run that it is held for.
func (s *System) onNote(now time.Duration, from ident.Host, m *peerpb.KeyNote, out *system.Outbox) {
	if m.GetKey() == "" || m.GetRequest() == "" {
		return
	}
	if m.GetRelease() {
		s.release(m)
		return
	}
	answer := &peerpb.KeyAnswer{Seq: m.GetSeq()}
	held := s.notes[m.GetKey()]
	switch {
	case held != nil && held.request == ident.Request(m.GetRequest()):
		answer.First = true
		held.known = held.known || m.GetSure()
		s.keep(now, held)
	case held != nil && m.GetSure() && !held.sure(now):
		s.drop(held)
		answer.First = true
		s.hold(now, from, m)
	case held != nil:
		answer.Custodian = string(held.custodian)
		answer.Request = string(held.request)
		answer.Fingerprint = held.fingerprint
	case len(s.notes) >= MaxKeys:
		answer.Full = true
	default:
		answer.First = true
		s.hold(now, from, m)
	}
	answer.Settled = s.hosts.settled(now, m.GetKey(), s.cfg.Self)
	if m.GetSeq() != 0 {
		out.Send(from, &peerpb.Envelope{Body: &peerpb.Envelope_KeyAnswer{KeyAnswer: answer}})
	}
}

// sure reports whether the run may have been dispatched. A run that is still
// asking is over, and has taken its note back unless it was told First, by the
// time the note is older than any question gets.
func (n *note) sure(now time.Duration) bool {
	return n.known || now-n.since > HolderTimeout+ContestTimeout
}

// hold adds a note.
func (s *System) hold(now time.Duration, from ident.Host, m *peerpb.KeyNote) {
	custodian := from
	if m.GetCustodian() != "" {
		custodian = ident.Host(m.GetCustodian())
	}
	n := &note{
		key:         m.GetKey(),
		request:     ident.Request(m.GetRequest()),
		custodian:   custodian,
		fingerprint: m.GetFingerprint(),
		since:       now,
		known:       m.GetSure(),
		holders:     s.hosts.holders(m.GetKey()),
	}
	s.notes[n.key] = n
	s.sweep.add(entryRef{key: n.key})
	s.keep(now, n)
}

// keep gives a note its whole retention.
func (s *System) keep(now time.Duration, n *note) {
	n.expires = now + Retention
	s.expiry.push(now+Retention, entryRef{key: n.key})
}

// release drops a note whose run was not dispatched.
func (s *System) release(m *peerpb.KeyNote) {
	held := s.notes[m.GetKey()]
	if held != nil && held.request == ident.Request(m.GetRequest()) {
		s.drop(held)
	}
}

// drop forgets a note.
func (s *System) drop(n *note) {
	delete(s.notes, n.key)
	delete(s.asked, n.seq)
}

// expire drops the notes, and the finished runs, whose retention is over.
func (s *System) expire(now time.Duration) {
	for {
		ref, ok := s.expiry.pop(now)
		if !ok {
			return
		}
		if ref.request != "" {
			if r := s.runs[ref.request]; r != nil && r.finished && now >= r.expires {
				delete(s.runs, ref.request)
				delete(s.asked, r.seq)
			}
			continue
		}
		if n := s.notes[ref.key]; n != nil && now >= n.expires {
			s.drop(n)
		}
	}
}
