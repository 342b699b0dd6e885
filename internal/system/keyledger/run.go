package keyledger

import (
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// firstRun is a run that got the outcome First. Its custodian keeps it to
// replicate the record to holders that lack it.
type firstRun struct {
	Run
	seq uint64
	// finished is set when the run has ended. Only finished runs are forgotten,
	// after Retention.
	finished bool
	expires  time.Duration
	// holders are the holders that have confirmed the record, contacted all
	// that were ever asked.
	holders   []holder
	contacted []holder
}

// query is a run that awaits the answers of its holders.
type query struct {
	Run
	seq       uint64
	startedAt time.Duration
	holders   []holder
	// contacted holds every holder that was ever asked.
	contacted []holder
	answers   map[holder]*peerpb.KeyAnswer
	// nextSend is when the holders are asked again.
	nextSend time.Duration
	// conflictSince is when another run of the key was first seen.
	conflictSince time.Duration
}

// Register asks the holders of a key to record a run. The Result is returned by
// Take. A run whose key another run of this host holds or asks for is treated
// like any other resend.
func (s *System) Register(now time.Duration, r Run, out *system.Outbox) {
	s.updateHosts(now, out)
	if len(s.runs)+len(s.pending) >= MaxKeys {
		s.results = append(s.results, Result{Request: r.Request, Outcome: Full})
		return
	}
	s.seq++
	q := &query{Run: r, seq: s.seq, startedAt: now}
	s.pending[r.Request] = q
	s.refBySeq[q.seq] = entryRef{request: r.Request}
	s.pendingOrder = append(s.pendingOrder, r.Request)
	s.queryHolders(now, q, out)
}

// queryHolders sends the query to the current holders.
func (s *System) queryHolders(now time.Duration, q *query, out *system.Outbox) {
	q.holders = s.hosts.holders(q.Key)
	for _, h := range q.holders {
		if !slices.Contains(q.contacted, h) {
			q.contacted = append(q.contacted, h)
		}
	}
	s.sendNotes(now, q, out)
}

// sendNotes asks all holders and drops their earlier answers, because a holder
// may have learned of another run since it answered.
func (s *System) sendNotes(now time.Duration, q *query, out *system.Outbox) {
	q.nextSend = now + resendInterval
	q.answers = map[holder]*peerpb.KeyAnswer{}
	for _, h := range q.holders {
		out.Send(h.host, noteMessage(q.seq, &q.Run, ""))
	}
}

// timedOut reports whether a query that its holders haven't decided is past its
// time limit.
func (s *System) timedOut(now time.Duration, q *query) bool {
	waited := now - q.startedAt
	switch {
	case q.FirstAttempt && s.firstAttemptSuffices(q):
		return waited >= FirstAttemptTimeout
	case s.hosts.partitioned:
		return waited >= PartitionTimeout
	default:
		return waited >= HolderTimeout
	}
}

// firstAttemptSuffices reports whether the caller's statement that the key is
// new suffices without the answers of all holders. This requires that a later
// attempt finds the record or gets Unproven: either a settled holder other than
// this host has recorded the run, or the whole failure domain was partitioned
// off and the other side had detected that when the request came.
func (s *System) firstAttemptSuffices(q *query) bool {
	for _, h := range q.holders {
		a := q.answers[h]
		if h.host != s.cfg.Self && a.GetFirst() && a.GetSettled() {
			return true
		}
	}
	return s.hosts.domainPartitioned(q.startedAt, s.cfg.View)
}

// noteMessage returns the message that asks a holder to record a run. An empty
// custodian means the sender.
func noteMessage(seq uint64, r *Run, custodian ident.Host) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_KeyNote{KeyNote: &peerpb.KeyNote{
		Seq: seq, Key: r.Key, Request: string(r.Request),
		Fingerprint: r.Fingerprint, Custodian: string(custodian),
	}}}
}

// handleAnswer handles a holder's answer.
func (s *System) handleAnswer(now time.Duration, from holder, m *peerpb.KeyAnswer, out *system.Outbox) {
	ref, ok := s.refBySeq[m.GetSeq()]
	if !ok {
		return
	}
	if q, open := s.pending[ref.request]; open {
		if slices.Contains(q.holders, from) {
			q.answers[from] = m
			s.evaluate(now, q, out)
		}
		return
	}
	if r := s.runs[ref.request]; r != nil {
		r.holders = s.addConfirmation(r.holders, from, m)
	}
	if n := s.records[ref.key]; n != nil {
		n.holders = s.addConfirmation(n.holders, from, m)
	}
}

// addConfirmation adds a holder that has recorded a run, or counts its refusal if
// it holds the key for another run.
func (s *System) addConfirmation(holders []holder, from holder, m *peerpb.KeyAnswer) []holder {
	switch {
	case m.GetFirst() && !slices.Contains(holders, from):
		return append(holders, from)
	case m.GetRequest() != "":
		s.refused++
	}
	return holders
}

// evaluate decides a query if its answers or the time allow it.
func (s *System) evaluate(now time.Duration, q *query, out *system.Outbox) {
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
	case other != nil && s.yields(now, q):
		s.resolve(now, q, Result{
			Outcome:     Repeat,
			Custodian:   ident.Host(other.GetCustodian()),
			Original:    ident.Request(other.GetRequest()),
			Fingerprint: other.GetFingerprint(),
		}, out)
	case other == nil && len(q.holders) > 0 && firsts == len(q.holders) && settled:
		s.resolve(now, q, Result{Outcome: First}, out)
	case other == nil && s.timedOut(now, q):
		s.timeOutQuery(now, q, out)
	}
}

// yields reports whether a run yields to a conflicting run of the key. Both ask
// the same holders in the same order, so at most one of them is first at the
// first holder. The other yields at once and releases its records, and the one
// that is first waits for that up to ConflictTimeout. If the other doesn't yield
// by then, it already got First.
func (s *System) yields(now time.Duration, q *query) bool {
	if q.conflictSince == 0 {
		q.conflictSince = now
	}
	if now-q.conflictSince >= ConflictTimeout {
		return true
	}
	lead := q.answers[q.holders[0]]
	return lead != nil && !lead.GetFirst()
}

// advance decides a query if possible, and otherwise asks the holders again when
// that is due.
func (s *System) advance(now time.Duration, q *query, out *system.Outbox) {
	s.evaluate(now, q, out)
	if _, open := s.pending[q.Request]; open && now >= q.nextSend {
		s.sendNotes(now, q, out)
	}
}

// timeOutQuery ends a query that its holders haven't decided: with First if the
// caller's statement that the key is new suffices, and otherwise with Unproven.
func (s *System) timeOutQuery(now time.Duration, q *query, out *system.Outbox) {
	if q.FirstAttempt && s.firstAttemptSuffices(q) {
		s.resolve(now, q, Result{Outcome: First, ByAttempt: true}, out)
		return
	}
	s.resolve(now, q, Result{Outcome: Unproven, Partitioned: s.hosts.partitioned}, out)
}

// requeryAll sends every open query to the holders in the new host set.
func (s *System) requeryAll(now time.Duration, out *system.Outbox) {
	for _, request := range s.pendingOrder {
		s.queryHolders(now, s.pending[request], out)
	}
}

// resolve ends a query with a result. A run that isn't the first has its records
// released.
func (s *System) resolve(now time.Duration, q *query, result Result, out *system.Outbox) {
	delete(s.pending, q.Request)
	s.pendingOrder = slices.DeleteFunc(s.pendingOrder, func(r ident.Request) bool { return r == q.Request })
	result.Request = q.Request
	s.results = append(s.results, result)
	if result.Outcome != First {
		delete(s.refBySeq, q.seq)
		s.releaseNotes(&q.Run, q.contacted, out)
		return
	}
	s.runs[q.Request] = &firstRun{Run: q.Run, seq: q.seq, holders: s.confirmedHolders(q), contacted: q.contacted}
	s.rebalance.add(entryRef{request: q.Request})
	s.refresh.push(now+RefreshInterval, entryRef{request: q.Request})
	if result.ByAttempt {
		// Replicate the record to the holders that didn't answer.
		s.startRebalance(now)
	}
}

// confirmedHolders returns the holders that have recorded the run.
func (s *System) confirmedHolders(q *query) []holder {
	var holders []holder
	for _, h := range q.holders {
		if q.answers[h].GetFirst() {
			holders = append(holders, h)
		}
	}
	return holders
}

// releaseNotes asks holders to release the record of a run.
func (s *System) releaseNotes(r *Run, holders []holder, out *system.Outbox) {
	for _, h := range holders {
		env := noteMessage(0, r, "")
		env.GetKeyNote().Release = true
		out.Send(h.host, env)
	}
}

// Release frees the key of a run that has not been and won't be dispatched, so
// that a resend can run. It also ends a query that is still open.
func (s *System) Release(_ time.Duration, request ident.Request, out *system.Outbox) {
	if q, ok := s.pending[request]; ok {
		delete(s.pending, request)
		delete(s.refBySeq, q.seq)
		s.pendingOrder = slices.DeleteFunc(s.pendingOrder, func(r ident.Request) bool { return r == request })
		s.releaseNotes(&q.Run, q.contacted, out)
		return
	}
	if r, ok := s.runs[request]; ok && !r.finished {
		delete(s.runs, request)
		delete(s.refBySeq, r.seq)
		s.releaseNotes(&r.Run, slices.Concat(r.contacted, r.holders), out)
	}
}

// Finish marks a run as ended. It is kept for another Retention.
func (s *System) Finish(now time.Duration, request ident.Request) {
	r, ok := s.runs[request]
	if !ok || r.finished {
		return
	}
	r.finished = true
	r.expires = now + Retention
	s.expiry.push(r.expires, entryRef{request: request})
}

// refreshRuns refreshes the records of active runs at their holders.
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
			message := noteMessage(r.seq, &r.Run, "")
			message.GetKeyNote().Sure = true
			out.Send(h.host, message)
		}
		s.refresh.push(now+RefreshInterval, ref)
	}
}
