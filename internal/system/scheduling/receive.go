package scheduling

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/bound"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// Receive handles one message from a custodian or another scheduler. Messages that are
// not for a pool scheduler are ignored.
func (s *System) Receive(now time.Duration, from Process, m *peerpb.Envelope, out *system.Outbox) {
	switch body := m.GetBody().(type) {
	case *peerpb.Envelope_Submit:
		s.submit(now, from, body.Submit, out)
	case *peerpb.Envelope_Cancel:
		s.cancel(now, body.Cancel, out)
	case *peerpb.Envelope_Report:
		s.report(now, from, body.Report, out)
	case *peerpb.Envelope_Holdings:
		s.holdings(now, from, body.Holdings, out)
	case *peerpb.Envelope_Quarantine:
		s.receiveSuspects(now, body.Quarantine.GetSuspects(), out)
	case *peerpb.Envelope_PoolStatus:
		s.remote(now, body.PoolStatus, out)
	}
}

// submit queues a request. Hosts may briefly disagree on which one schedules a pool. Any
// host that gets a submission may serve it, since only custodians dispatch.
func (s *System) submit(now time.Duration, from Process, m *peerpb.Submit, out *system.Outbox) {
	p := ident.Pool{Target: m.GetTarget(), Domain: ident.Domain(m.GetDomain())}
	if s.snapshot == nil || p.Domain != s.cfg.Domain {
		return
	}
	in := s.ensureInstance(now, p, out)
	s.advanceEpoch(now, in, m.GetEpoch(), out)
	if !in.noteMessage(now, from, m.GetClockUs()) {
		return
	}
	if refusal := s.charge(now, in, m); refusal != nil {
		out.Send(from.Host, peerpb.Wrap(&peerpb.Envelope_Refuse{Refuse: refusal}))
		return
	}
	in.enqueue(pool.Arrive{Request: poolRequest(now, from.Host, m)})
	s.accept(from.Host, m, in, out)
	s.step(now, in, out)
}

// accept confirms the receipt of a request to its custodian.
func (s *System) accept(to ident.Host, m *peerpb.Submit, in *instance, out *system.Outbox) {
	out.Send(to, peerpb.Wrap(&peerpb.Envelope_Accept{Accept: &peerpb.Accept{
		Request: m.GetRequest(), Target: m.GetTarget(), Domain: m.GetDomain(), Epoch: in.epoch,
	}}))
}

// poolRequest converts a submission to the pool scheduler's request.
func poolRequest(now time.Duration, from ident.Host, m *peerpb.Submit) pool.Request {
	r := pool.Request{
		ID: ident.Request(m.GetRequest()), Host: from, Rank: int(m.GetTierRank()),
		Team:         ident.Team(m.GetTeam()),
		PromptTokens: tokens(m.GetPromptTokens()), MaxTokens: tokens(m.GetMaxTokens()),
		Deadline: now + bound.Micros(m.GetDeadlineUs()),
		Prefix:   m.GetPrefix(), KeyHash: m.GetKeyHash(), Fingerprint: m.GetFingerprint(), Parts: m.GetParts(),
		Repeats: m.GetRepeats(), Idempotent: m.GetIdempotent(), Spilled: m.GetSpilled(),
		ExpectedTokens: tokens(m.GetExpectedTokens()), Avoid: ident.Endpoint(m.GetAvoid()),
		Near: ident.Domain(m.GetNear()), Route: m.GetRoute(), Bytes: bound.Count(m.GetBytes(), bound.MaxBytes),
	}
	if m.GetHasObjective() {
		r.FirstDue = max(1, now+micros(m.GetFirstTokenDueUs()))
	}
	if m.GetPatienceUs() > 0 {
		r.Patience = now + micros(m.GetPatienceUs())
	}
	for _, n := range m.GetPrefixTokens() {
		r.PrefixTokens = append(r.PrefixTokens, int(n))
	}
	bound.Prompt(r.PrefixTokens)
	return r
}

// cancel withdraws a request.
func (s *System) cancel(now time.Duration, m *peerpb.Cancel, out *system.Outbox) {
	in := s.instances[ident.Pool{Target: m.GetTarget(), Domain: ident.Domain(m.GetDomain())}]
	if in == nil {
		return
	}
	id := ident.Request(m.GetRequest())
	s.refund(in, id)
	in.enqueue(pool.Cancel{ID: id})
	s.step(now, in, out)
}

// report handles a custodian's report on a grant.
func (s *System) report(now time.Duration, from Process, m *peerpb.Report, out *system.Outbox) {
	in := s.instances[ident.Pool{Target: m.GetTarget(), Domain: ident.Domain(m.GetDomain())}]
	if in == nil {
		return
	}
	s.advanceEpoch(now, in, m.GetEpoch(), out)
	if !in.noteMessage(now, from, m.GetClockUs()) {
		return
	}
	key := runningKey{ident.Request(m.GetRequest()), ident.Attempt(m.GetAttempt())}
	switch m.GetPhase() {
	case peerpb.Report_PHASE_STARTED:
		delete(in.charged, key.request)
		in.noteRunning(now, from.Host, key)
		in.enqueue(pool.Started{ID: key.request, Attempt: key.attempt})
	case peerpb.Report_PHASE_FIRST_TOKEN:
		in.noteRunning(now, from.Host, key)
		f := pool.FirstToken{ID: key.request, Attempt: key.attempt, After: micros(m.GetFirstTokenUs())}
		f.LoadPercent, f.LoadAge = in.loadFigure(now, from, m)
		in.enqueue(f)
	case peerpb.Report_PHASE_DECLINED:
		in.enqueue(pool.Declined{
			ID: key.request, Attempt: key.attempt,
			Requeue: m.GetRequeue(), Unreachable: m.GetUnreachable(), Lifetime: m.GetLifetime(),
			Backoff: micros(m.GetBackoffUs()),
		})
	default:
		delete(in.running, key)
		f := finishedEvent(key, m)
		f.LoadPercent, f.LoadAge = in.loadFigure(now, from, m)
		in.enqueue(f)
	}
	s.step(now, in, out)
}

// finishedEvent converts the final report on a dispatched request.
func finishedEvent(key runningKey, m *peerpb.Report) pool.Finished {
	outcome := pool.OutcomeCompleted
	switch m.GetPhase() {
	case peerpb.Report_PHASE_LOST:
		outcome = pool.OutcomeLost
	case peerpb.Report_PHASE_CANCELED:
		outcome = pool.OutcomeCanceled
	case peerpb.Report_PHASE_REJECTED:
		outcome = pool.OutcomeRejected
	case peerpb.Report_PHASE_BROKEN:
		outcome = pool.OutcomeFailed
	}
	return pool.Finished{
		ID: key.request, Attempt: key.attempt, Outcome: outcome, Lifetime: m.GetLifetime(),
		Backoff: micros(m.GetBackoffUs()), Answered: m.GetAnswered(), Generated: m.GetGenerated(),
		PromptTokens: tokens(m.GetPromptTokens()), CachedTokens: max(unknownTokens, int(min(m.GetCachedTokens(), bound.MaxTokens))),
		OutputTokens: tokens(m.GetOutputTokens()),
		FirstToken:   micros(m.GetFirstTokenUs()), Total: micros(m.GetTotalUs()),
	}
}

// loadFigure returns the endpoint's load that a report states, in percent, and its age.
func (in *instance) loadFigure(now time.Duration, from Process, m *peerpb.Report) (percent int, age time.Duration) {
	if m.GetLoadPercent() == 0 {
		return 0, 0
	}
	return int(m.GetLoadPercent()), in.messageAge(now, from, m.GetClockUs())
}

// unknownTokens is reported for a number of tokens that isn't known.
const unknownTokens = -1

// tokens bounds a number of tokens.
func tokens(n int64) int {
	return bound.Count(n, bound.MaxTokens)
}

// micros converts microseconds to a bounded duration.
func micros(us int64) time.Duration {
	return bound.Micros(us)
}

// holdings handles the list of requests that a host holds. It is either the answer to a
// take-over query, or the periodic list of running requests, which corrects the running
// requests after lost reports.
func (s *System) holdings(now time.Duration, from Process, m *peerpb.Holdings, out *system.Outbox) {
	in := s.instances[ident.Pool{Target: m.GetTarget(), Domain: ident.Domain(m.GetDomain())}]
	if in == nil {
		return
	}
	s.advanceEpoch(now, in, m.GetEpoch(), out)
	if !in.noteMessage(now, from, m.GetClockUs()) {
		return
	}
	restore := pool.Restore{Host: from.Host}
	listed := map[runningKey]bool{}
	for _, r := range m.GetRunning() {
		key := runningKey{ident.Request(r.GetRequest().GetRequest()), ident.Attempt(r.GetAttempt())}
		listed[key] = true
		in.noteRunning(now, from.Host, key)
		restore.Running = append(restore.Running, pool.Running{
			Request: poolRequest(now, from.Host, r.GetRequest()), Endpoint: ident.Endpoint(r.GetEndpoint()),
			Attempt: key.attempt, Age: micros(r.GetAgeUs()), FirstTokenAge: micros(r.GetFirstTokenAgeUs()),
		})
	}
	for _, w := range m.GetWaiting() {
		restore.Waiting = append(restore.Waiting, poolRequest(now, from.Host, w))
		s.accept(from.Host, w, in, out)
	}
	in.enqueue(restore)
	grace := missingGrace
	if m.GetTakeOver() {
		// The list is a complete answer to a query. Messages from one host arrive in
		// order, so it includes everything that the host started before.
		grace = 0
	}
	for _, key := range in.missingRequests(now, from.Host, listed, grace) {
		delete(in.running, key)
		in.enqueue(pool.Finished{ID: key.request, Attempt: key.attempt, Outcome: pool.OutcomeCanceled})
	}
	if m.GetTakeOver() {
		delete(in.awaited, from.Host)
	}
	s.receiveSuspects(now, m.GetSuspects(), out)
	s.step(now, in, out)
}

// remote handles the status of the same target's pool in another domain.
func (s *System) remote(now time.Duration, m *peerpb.PoolStatus, out *system.Outbox) {
	in := s.instances[ident.Pool{Target: m.GetTarget(), Domain: s.cfg.Domain}]
	if in == nil || ident.Domain(m.GetDomain()) == s.cfg.Domain {
		return
	}
	r := pool.Remote{
		Domain: ident.Domain(m.GetDomain()), Free: bound.Count(int(m.GetFreeSlots()), bound.MaxCount),
		LowestRank: int(m.GetLowestRank()),
	}
	for _, us := range m.GetWaitUs() {
		r.Wait = append(r.Wait, micros(us))
	}
	in.remotes[r.Domain] = true
	in.enqueue(r)
	s.step(now, in, out)
}

// Observe passes an endpoint's load report or cache events to its pool.
func (s *System) Observe(now time.Duration, p ident.Pool, e pool.Event, out *system.Outbox) {
	if in := s.instances[p]; in != nil {
		in.enqueue(e)
		s.step(now, in, out)
	}
}

// suspectKey identifies a suspect.
type suspectKey struct {
	key         uint64
	fingerprint uint64
	part        bool
}

func keyOf(x *pool.Suspect) suspectKey {
	return suspectKey{x.KeyHash, x.Fingerprint, x.Part}
}

// receiveSuspects merges the suspects known to another host.
func (s *System) receiveSuspects(now time.Duration, list []*peerpb.Suspect, out *system.Outbox) {
	suspects := make([]pool.Suspect, len(list))
	for i, m := range list {
		suspects[i] = pool.Suspect{
			KeyHash: m.GetKeyHash(), Fingerprint: m.GetFingerprint(),
			Crashes: int(m.GetCrashes()), Quarantined: m.GetQuarantined(),
			Repeats: m.GetRepeats(), Age: micros(m.GetAgeUs()),
			Part: m.GetPart(), CoSuspects: m.GetCoSuspects(), Trial: m.GetTrial(),
		}
	}
	s.MergeSuspects(now, suspects, out)
}

// MergeSuspects records new or changed suspects and passes them to the pools of this
// host.
func (s *System) MergeSuspects(now time.Duration, list []pool.Suspect, out *system.Outbox) {
	var changed []pool.Suspect
	for _, suspect := range list {
		if s.recordSuspect(now, suspect) {
			changed = append(changed, suspect)
		}
	}
	if len(changed) == 0 {
		return
	}
	for _, p := range s.ownedPools() {
		s.instances[p].enqueue(pool.Suspects{List: changed})
		s.step(now, s.instances[p], out)
	}
}

// suspectEntry is a suspect with the time of its last crash.
type suspectEntry struct {
	pool.Suspect
	crashedAt time.Duration
}

// aged returns the suspect with its age at the given time.
func (x suspectEntry) aged(now time.Duration) pool.Suspect {
	out := x.Suspect
	out.Age = now - x.crashedAt
	return out
}

// recordSuspect records a suspect and reports whether that concerns the pools of this
// host. A suspect without crashes was cleared and is removed.
func (s *System) recordSuspect(now time.Duration, x pool.Suspect) bool {
	key := keyOf(&x)
	old, known := s.suspects[key]
	switch {
	case x.Trial:
		return true
	case x.Crashes == 0 && !x.Quarantined:
		delete(s.suspects, key)
		if x.Part {
			s.forgetCoSuspect(x.Fingerprint)
		}
		return known
	}
	if x.Age > x.Retention() || known && old.Crashes >= x.Crashes && (old.Quarantined || !x.Quarantined) {
		return false
	}
	if !known {
		s.makeRoom(x.Part)
	}
	s.suspects[key] = suspectEntry{x, now - x.Age}
	return true
}

// forgetCoSuspect removes a part that was cleared from the co-suspects of the others.
func (s *System) forgetCoSuspect(fingerprint uint64) {
	for key, x := range s.suspects {
		if slices.Contains(x.CoSuspects, fingerprint) {
			x.CoSuspects = slices.DeleteFunc(slices.Clone(x.CoSuspects), func(p uint64) bool { return p == fingerprint })
			s.suspects[key] = x
		}
	}
}

// makeRoom evicts a suspect if there are too many parts, or requests. Requests and parts
// are bounded apart, so that neither evict the others.
func (s *System) makeRoom(part bool) {
	var least suspectKey
	count := 0
	for key, x := range s.suspects {
		if key.part != part {
			continue
		}
		if count++; count == 1 || x.lessSuspicious(s.suspects[least]) {
			least = key
		}
	}
	if part && count >= rules.MaxSuspectParts || !part && count >= rules.MaxSuspects {
		delete(s.suspects, least)
	}
}

// lessSuspicious reports whether x is evicted before y: quarantined suspects go last, and of
// the others those with the fewest crashes, or with the oldest last one, go first.
func (x suspectEntry) lessSuspicious(y suspectEntry) bool {
	if x.Quarantined != y.Quarantined {
		return y.Quarantined
	}
	return cmp.Or(cmp.Compare(x.Crashes, y.Crashes), cmp.Compare(x.crashedAt, y.crashedAt)) < 0
}

// expireSuspects removes the suspects that are older than their retention.
func (s *System) expireSuspects(now time.Duration) {
	maps.DeleteFunc(s.suspects, func(_ suspectKey, x suspectEntry) bool { return now-x.crashedAt > x.Retention() })
}

// Suspects returns all known suspects in a fixed order.
func (s *System) Suspects(now time.Duration) []*peerpb.Suspect {
	list := make([]*peerpb.Suspect, 0, len(s.suspects))
	for _, x := range s.suspects {
		list = append(list, suspectMessage(x.aged(now)))
	}
	slices.SortFunc(list, func(a, b *peerpb.Suspect) int {
		return cmp.Or(cmp.Compare(a.KeyHash, b.KeyHash), cmp.Compare(a.Fingerprint, b.Fingerprint),
			cmp.Compare(boolOrder(a.Part), boolOrder(b.Part)))
	})
	return list
}

// boolOrder orders false before true.
func boolOrder(b bool) int {
	if b {
		return 1
	}
	return 0
}

// suspectMessage converts a suspect to its message.
func suspectMessage(x pool.Suspect) *peerpb.Suspect {
	return &peerpb.Suspect{
		KeyHash: x.KeyHash, Fingerprint: x.Fingerprint,
		Crashes: int32(x.Crashes), Quarantined: x.Quarantined,
		Repeats: x.Repeats, AgeUs: x.Age.Microseconds(),
		Part: x.Part, CoSuspects: x.CoSuspects, Trial: x.Trial,
	}
}
