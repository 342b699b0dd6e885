package keyledger

import (
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// run is a run that was told First. Its custodian keeps it so that it can
// bring the notes back to holders that lost them.
type run struct {
	Run
	seq uint64
	// finished runs are forgotten after Retention; others never.
	finished bool
	expires  time.Duration
	// holders are those that have confirmed the note, touched all that were
	// asked for it.
	holders []holder
	touched []holder
}

// question is a run that waits for its holders.
type question struct {
	Run
	seq     uint64
	asked   time.Duration
	holders []holder
	// touched are all holders that were ever asked.
	touched []holder
	answers map[holder]*peerpb.KeyAnswer
	// nextSend is when the holders are asked again.
	nextSend time.Duration
	// contested is when another run of the key was first met.
	contested time.Duration
}

// Register asks the holders of a key to note a run. The Result comes with Take. A
// run whose key another run of this host has already won or asked for is
// treated like any other resend.
func (s *System) Register(now time.Duration, r Run, out *system.Outbox) {
	s.follow(now, out)
	if len(s.runs)+len(s.pending) >= MaxKeys {
		s.results = append(s.results, Result{Request: r.Request, Outcome: Full})
		return
	}
	s.seq++
	q := &question{Run: r, seq: s.seq, asked: now}
	s.pending[r.Request] = q
	s.asked[q.seq] = entryRef{request: r.Request}
	s.order = append(s.order, r.Request)
	s.ask(now, q, out)
}

// ask sends the question to the current holders.
func (s *System) ask(now time.Duration, q *question, out *system.Outbox) {
	q.holders = s.hosts.holders(q.Key)
	for _, h := range q.holders {
		if !slices.Contains(q.touched, h) {
			q.touched = append(q.touched, h)
		}
	}
	s.send(now, q, out)
}

// send asks the holders, from the start: a holder may have learned of another
// run since it last answered.
func (s *System) send(now time.Duration, q *question, out *system.Outbox) {
	q.nextSend = now + resendInterval
	q.answers = map[holder]*peerpb.KeyAnswer{}
	for _, h := range q.holders {
		out.Send(h.host, noteOf(q.seq, &q.Run, ""))
	}
}

// overdue reports whether a question that its holders have left open has taken
// its time.
func (s *System) overdue(now time.Duration, q *question) bool {
	waited := now - q.asked
	switch {
	case q.FirstAttempt && s.attemptProves(q):
		return waited >= FirstAttemptTimeout
	case s.hosts.cut:
		return waited >= PartitionTimeout
	default:
		return waited >= HolderTimeout
	}
}

// attemptProves reports whether the caller's word that the key is new suffices
// without all holders. A later attempt must then find the note, or be told
// that it can't be found out: either another host that is sure to be a holder
// has noted the run, or the whole domain was cut off and the other side knew it
// when the request came.
func (s *System) attemptProves(q *question) bool {
	for _, h := range q.holders {
		a := q.answers[h]
		if h.host != s.cfg.Self && a.GetFirst() && a.GetSettled() {
			return true
		}
	}
	return s.hosts.domainCutOff(q.asked, s.cfg.View)
}

// noteOf returns the message that notes a run. The custodian is empty when the
// sender is it.
func noteOf(seq uint64, r *Run, custodian ident.Host) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_KeyNote{KeyNote: &peerpb.KeyNote{
		Seq: seq, Key: r.Key, Request: string(r.Request),
		Fingerprint: r.Fingerprint, Custodian: string(custodian),
	}}}
}

// onAnswer takes a holder's answer.
func (s *System) onAnswer(now time.Duration, from holder, m *peerpb.KeyAnswer, out *system.Outbox) {
	ref, ok := s.asked[m.GetSeq()]
	if !ok {
		return
	}
	if q, open := s.pending[ref.request]; open {
		if slices.Contains(q.holders, from) {
			q.answers[from] = m
			s.judge(now, q, out)
		}
		return
	}
	if r := s.runs[ref.request]; r != nil {
		r.holders = s.confirm(r.holders, from, m)
	}
	if n := s.notes[ref.key]; n != nil {
		n.holders = s.confirm(n.holders, from, m)
	}
}

// confirm adds a holder that has noted a run, or counts that it holds the key
// for another.
func (s *System) confirm(holders []holder, from holder, m *peerpb.KeyAnswer) []holder {
	switch {
	case m.GetFirst() && !slices.Contains(holders, from):
		return append(holders, from)
	case m.GetRequest() != "":
		s.refused++
	}
	return holders
}

// judge ends a question when its answers allow it.
func (s *System) judge(now time.Duration, q *question, out *system.Outbox) {
	firsts, settled := 0, false
	var other *peerpb.KeyAnswer
	for _, h := range q.holders {
		a := q.answers[h]
		switch {
		case a == nil:
		case a.GetFull():
			s.resolve(now, q, Result{Outcome: Full}, out)
			return
		case a.GetFirst():
			firsts++
			settled = settled || a.GetSettled()
		case other == nil:
			other = a
		}
	}
	switch {
	case other != nil && s.givesWay(now, q):
		s.resolve(now, q, Result{
			Outcome:     Repeat,
			Custodian:   ident.Host(other.GetCustodian()),
			Original:    ident.Request(other.GetRequest()),
			Fingerprint: other.GetFingerprint(),
		}, out)
	case other == nil && len(q.holders) > 0 && firsts == len(q.holders) && settled:
		s.resolve(now, q, Result{Outcome: First}, out)
	case other == nil && s.overdue(now, q):
		s.expireQuestion(now, q, out)
	}
}

// givesWay settles which of two runs of a key gives way. Both ask the holders
// in the same order, so that at most one of them is first at the first holder:
// the other gives way at once and takes its note back, and the one that is
// first there waits for that. If the other doesn't give way, it has been told
// First already.
func (s *System) givesWay(now time.Duration, q *question) bool {
	if q.contested == 0 {
		q.contested = now
	}
	if now-q.contested >= ContestTimeout {
		return true
	}
	lead := q.answers[q.holders[0]]
	return lead != nil && !lead.GetFirst()
}

// pursue asks again, and ends a question whose time is over.
func (s *System) pursue(now time.Duration, q *question, out *system.Outbox) {
	s.judge(now, q, out)
	if _, open := s.pending[q.Request]; open && now >= q.nextSend {
		s.send(now, q, out)
	}
}

// expireQuestion ends a question that the holders have left open: by the
// caller's word that the key is new, or unproven.
func (s *System) expireQuestion(now time.Duration, q *question, out *system.Outbox) {
	if q.FirstAttempt && s.attemptProves(q) {
		s.resolve(now, q, Result{Outcome: First, ByAttempt: true}, out)
		return
	}
	s.resolve(now, q, Result{Outcome: Unproven, Partitioned: s.hosts.cut}, out)
}

// askAgain sends every open question to the holders of the new host set.
func (s *System) askAgain(now time.Duration, out *system.Outbox) {
	for _, request := range s.order {
		s.ask(now, s.pending[request], out)
	}
}

// resolve ends a question with a result. A run that isn't the first takes its
// notes back.
func (s *System) resolve(now time.Duration, q *question, result Result, out *system.Outbox) {
	delete(s.pending, q.Request)
	s.order = slices.DeleteFunc(s.order, func(r ident.Request) bool { return r == q.Request })
	result.Request = q.Request
	s.results = append(s.results, result)
	if result.Outcome != First {
		delete(s.asked, q.seq)
		s.takeBack(&q.Run, q.touched, out)
		return
	}
	s.runs[q.Request] = &run{Run: q.Run, seq: q.seq, holders: s.answered(q), touched: q.touched}
	s.sweep.add(entryRef{request: q.Request})
	s.refresh.push(now+RefreshInterval, entryRef{request: q.Request})
	if result.ByAttempt {
		// The holders that didn't answer are told as soon as they can be.
		s.startSweep(now)
	}
}

// answered returns the holders that have noted the run.
func (s *System) answered(q *question) []holder {
	var holders []holder
	for _, h := range q.holders {
		if q.answers[h].GetFirst() {
			holders = append(holders, h)
		}
	}
	return holders
}

// takeBack releases the notes of a run at its holders.
func (s *System) takeBack(r *Run, holders []holder, out *system.Outbox) {
	for _, h := range holders {
		env := noteOf(0, r, "")
		env.GetKeyNote().Release = true
		out.Send(h.host, env)
	}
}

// Release frees the key of a run that was not dispatched and will not be, so
// that a resend can run. It also ends a question that is still open.
func (s *System) Release(_ time.Duration, request ident.Request, out *system.Outbox) {
	if q, ok := s.pending[request]; ok {
		delete(s.pending, request)
		delete(s.asked, q.seq)
		s.order = slices.DeleteFunc(s.order, func(r ident.Request) bool { return r == request })
		s.takeBack(&q.Run, q.touched, out)
		return
	}
	if r, ok := s.runs[request]; ok && !r.finished {
		delete(s.runs, request)
		delete(s.asked, r.seq)
		s.takeBack(&r.Run, slices.Concat(r.touched, r.holders), out)
	}
}

// Finish says that a run has ended. It is remembered for Retention.
func (s *System) Finish(now time.Duration, request ident.Request) {
	r, ok := s.runs[request]
	if !ok || r.finished {
		return
	}
	r.finished = true
	r.expires = now + Retention
	s.expiry.push(r.expires, entryRef{request: request})
}

// refreshRuns notes again the runs that are still under way.
func (s *System) refreshRuns(now time.Duration, out *system.Outbox) {
	for {
		ref, ok := s.refresh.pop(now)
		if !ok {
			return
		}
		r := s.runs[ref.request]
		if r == nil || r.finished {
			continue
		}
		for _, h := range s.hosts.holders(r.Key) {
			known := noteOf(r.seq, &r.Run, "")
			known.GetKeyNote().Sure = true
			out.Send(h.host, known)
		}
		s.refresh.push(now+RefreshInterval, ref)
	}
}
