package scheduling

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// Receive takes one message of a custodian. Messages that aren't for a pool
// scheduler are ignored.
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
		s.learnSuspects(now, body.Quarantine.GetSuspects(), out)
	case *peerpb.Envelope_PoolStatus:
		s.remote(now, body.PoolStatus, out)
	}
}

// submit queues a request. Hosts may disagree for a moment on who schedules a
// pool; whoever is asked serves, since only custodians dispatch.
func (s *System) submit(now time.Duration, from Process, m *peerpb.Submit, out *system.Outbox) {
	p := ident.Pool{Target: m.GetTarget(), Domain: ident.Domain(m.GetDomain())}
	if s.snapshot == nil || p.Domain != s.cfg.Domain {
		return
	}
	in := s.own(now, p, out)
	s.supersede(now, in, m.GetEpoch(), out)
	if !in.hear(now, from, m.GetClockUs()) {
		return
	}
	if refusal := s.charge(now, in, m); refusal != nil {
		out.Send(from.Host, peerpb.Wrap(&peerpb.Envelope_Refuse{Refuse: refusal}))
		return
	}
	in.queue(pool.Arrive{Request: request(now, from.Host, m)})
	s.accept(from.Host, m, in, out)
	s.step(now, in, out)
}

// accept confirms that a request is known.
func (s *System) accept(to ident.Host, m *peerpb.Submit, in *instance, out *system.Outbox) {
	out.Send(to, peerpb.Wrap(&peerpb.Envelope_Accept{Accept: &peerpb.Accept{
		Request: m.GetRequest(), Target: m.GetTarget(), Domain: m.GetDomain(), Epoch: in.epoch,
	}}))
}

// request returns the scheduler's form of a submission.
func request(now time.Duration, from ident.Host, m *peerpb.Submit) pool.Request {
	r := pool.Request{
		ID: ident.Request(m.GetRequest()), Host: from, Rank: int(m.GetTierRank()),
		Team:         ident.Team(m.GetTeam()),
		PromptTokens: int(m.GetPromptTokens()), MaxTokens: int(m.GetMaxTokens()),
		Deadline: now + time.Duration(m.GetDeadlineUs())*time.Microsecond,
		Prefix:   m.GetPrefix(), KeyHash: m.GetKeyHash(), Fingerprint: m.GetFingerprint(),
		Repeats: m.GetRepeats(), Idempotent: m.GetIdempotent(), Spilled: m.GetSpilled(),
		ExpectedTokens: int(m.GetExpectedTokens()), Avoid: ident.Endpoint(m.GetAvoid()),
		Near: ident.Domain(m.GetNear()),
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
	in.queue(pool.Cancel{ID: id})
	s.step(now, in, out)
}

// report takes what became of a grant.
func (s *System) report(now time.Duration, from Process, m *peerpb.Report, out *system.Outbox) {
	in := s.instances[ident.Pool{Target: m.GetTarget(), Domain: ident.Domain(m.GetDomain())}]
	if in == nil {
		return
	}
	s.supersede(now, in, m.GetEpoch(), out)
	if !in.hear(now, from, m.GetClockUs()) {
		return
	}
	key := runningKey{ident.Request(m.GetRequest()), ident.Attempt(m.GetAttempt())}
	switch m.GetPhase() {
	case peerpb.Report_PHASE_STARTED:
		delete(in.charged, key.request)
		in.noteRunning(now, from.Host, key)
		in.queue(pool.Started{ID: key.request, Attempt: key.attempt})
	case peerpb.Report_PHASE_FIRST_TOKEN:
		in.noteRunning(now, from.Host, key)
		in.queue(pool.FirstToken{
			ID: key.request, Attempt: key.attempt, After: micros(m.GetFirstTokenUs()),
		})
	case peerpb.Report_PHASE_DECLINED:
		in.queue(pool.Declined{
			ID: key.request, Attempt: key.attempt,
			Requeue: m.GetRequeue(), Unreachable: m.GetUnreachable(), Lifetime: m.GetLifetime(),
			Backoff: micros(m.GetBackoffUs()),
		})
	default:
		delete(in.running, key)
		in.queue(finished(key, m))
	}
	s.step(now, in, out)
}

// finished returns the end of a dispatched request.
func finished(key runningKey, m *peerpb.Report) pool.Finished {
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
		Backoff: micros(m.GetBackoffUs()), Answered: m.GetAnswered(),
		PromptTokens: int(m.GetPromptTokens()), CachedTokens: int(m.GetCachedTokens()),
		OutputTokens: int(m.GetOutputTokens()),
		FirstToken:   micros(m.GetFirstTokenUs()), Total: micros(m.GetTotalUs()),
	}
}

// micros turns a count of microseconds into a duration.
func micros(us int64) time.Duration {
	return time.Duration(us) * time.Microsecond
}

// holdings takes what a host holds: the answer to a take-over, or the regular
// word on what runs, which mends a ledger after lost reports.
func (s *System) holdings(now time.Duration, from Process, m *peerpb.Holdings, out *system.Outbox) {
	in := s.instances[ident.Pool{Target: m.GetTarget(), Domain: ident.Domain(m.GetDomain())}]
	if in == nil {
		return
	}
	s.supersede(now, in, m.GetEpoch(), out)
	if !in.hear(now, from, m.GetClockUs()) {
		return
	}
	restore := pool.Restore{Host: from.Host}
	listed := map[runningKey]bool{}
	for _, r := range m.GetRunning() {
		key := runningKey{ident.Request(r.GetRequest().GetRequest()), ident.Attempt(r.GetAttempt())}
		listed[key] = true
		in.noteRunning(now, from.Host, key)
		restore.Running = append(restore.Running, pool.Running{
			Request: request(now, from.Host, r.GetRequest()), Endpoint: ident.Endpoint(r.GetEndpoint()),
			Attempt: key.attempt, Age: micros(r.GetAgeUs()),
		})
	}
	for _, w := range m.GetWaiting() {
		restore.Waiting = append(restore.Waiting, request(now, from.Host, w))
		s.accept(from.Host, w, in, out)
	}
	in.queue(restore)
	grace := missingGrace
	if m.GetTakeOver() {
		// The host was asked and told all. Messages of one host come in their order, so
		// what it had started before is in the list.
		grace = 0
	}
	for _, key := range in.missing(now, from.Host, listed, grace) {
		delete(in.running, key)
		in.queue(pool.Finished{ID: key.request, Attempt: key.attempt, Outcome: pool.OutcomeCanceled})
	}
	if m.GetTakeOver() {
		delete(in.awaited, from.Host)
	}
	s.learnSuspects(now, m.GetSuspects(), out)
	s.step(now, in, out)
}

// remote takes the room of the same target in another domain.
func (s *System) remote(now time.Duration, m *peerpb.PoolStatus, out *system.Outbox) {
	in := s.instances[ident.Pool{Target: m.GetTarget(), Domain: s.cfg.Domain}]
	if in == nil || ident.Domain(m.GetDomain()) == s.cfg.Domain {
		return
	}
	r := pool.Remote{
		Domain: ident.Domain(m.GetDomain()), Free: int(m.GetFreeSlots()),
		LowestRank: int(m.GetLowestRank()),
	}
	for _, us := range m.GetWaitUs() {
		r.Wait = append(r.Wait, micros(us))
	}
	in.remotes[r.Domain] = true
	in.queue(r)
	s.step(now, in, out)
}

// Observe brings an endpoint's load report or cache events.
func (s *System) Observe(now time.Duration, p ident.Pool, e pool.Event, out *system.Outbox) {
	if in := s.instances[p]; in != nil {
		in.queue(e)
		s.step(now, in, out)
	}
}

// suspectKey identifies a suspect.
type suspectKey struct {
	key         uint64
	fingerprint uint64
}

// learnSuspects takes in what another host knows of suspects.
func (s *System) learnSuspects(now time.Duration, list []*peerpb.Suspect, out *system.Outbox) {
	suspects := make([]pool.Suspect, len(list))
	for i, m := range list {
		suspects[i] = pool.Suspect{
			KeyHash: m.GetKeyHash(), Fingerprint: m.GetFingerprint(),
			Crashes: int(m.GetCrashes()), Quarantined: m.GetQuarantined(),
			Repeats: m.GetRepeats(), Age: micros(m.GetAgeUs()),
		}
	}
	s.MergeSuspects(now, suspects, out)
}

// MergeSuspects keeps what is new about suspects and tells the own pools.
func (s *System) MergeSuspects(now time.Duration, list []pool.Suspect, out *system.Outbox) {
	var news []pool.Suspect
	for _, suspect := range list {
		if s.keepSuspect(now, suspect) {
			news = append(news, suspect)
		}
	}
	if len(news) == 0 {
		return
	}
	for _, p := range s.owned() {
		s.instances[p].queue(pool.Suspects{List: news})
		s.step(now, s.instances[p], out)
	}
}

// suspectRow is a suspect with the time of its last crash.
type suspectRow struct {
	pool.Suspect
	crashedAt time.Duration
}

// at returns the suspect as it is to be told at a time.
func (x suspectRow) at(now time.Duration) pool.Suspect {
	out := x.Suspect
	out.Age = now - x.crashedAt
	return out
}

// keepSuspect records a suspect and reports whether that was news. One without
// crashes was cleared.
func (s *System) keepSuspect(now time.Duration, x pool.Suspect) bool {
	key := suspectKey{x.KeyHash, x.Fingerprint}
	old, known := s.suspects[key]
	if x.Crashes == 0 && !x.Quarantined {
		delete(s.suspects, key)
		return known
	}
	if x.Age > x.Retention() || known && old.Crashes >= x.Crashes && (old.Quarantined || !x.Quarantined) {
		return false
	}
	if !known && len(s.suspects) >= rules.MaxSuspects {
		s.dropSuspect()
	}
	s.suspects[key] = suspectRow{x, now - x.Age}
	return true
}

// dropSuspect forgets the suspect whose last crash is the longest ago, of those that are
// not quarantined if there are any.
func (s *System) dropSuspect() {
	var oldest suspectKey
	found, quarantined := false, false
	for key, x := range s.suspects {
		old := s.suspects[oldest]
		if !found || quarantined && !x.Quarantined || quarantined == x.Quarantined && x.crashedAt < old.crashedAt {
			oldest, found, quarantined = key, true, x.Quarantined
		}
	}
	delete(s.suspects, oldest)
}

// sweepSuspects forgets those whose time is over.
func (s *System) sweepSuspects(now time.Duration) {
	maps.DeleteFunc(s.suspects, func(_ suspectKey, x suspectRow) bool { return now-x.crashedAt > x.Retention() })
}

// Suspects lists what is known of crashes, in a fixed order.
func (s *System) Suspects(now time.Duration) []*peerpb.Suspect {
	list := make([]*peerpb.Suspect, 0, len(s.suspects))
	for _, x := range s.suspects {
		list = append(list, suspectMessage(x.at(now)))
	}
	slices.SortFunc(list, func(a, b *peerpb.Suspect) int {
		return cmp.Or(cmp.Compare(a.KeyHash, b.KeyHash), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return list
}

// suspectMessage returns the message form of a suspect.
func suspectMessage(x pool.Suspect) *peerpb.Suspect {
	return &peerpb.Suspect{
		KeyHash: x.KeyHash, Fingerprint: x.Fingerprint,
		Crashes: int32(x.Crashes), Quarantined: x.Quarantined,
		Repeats: x.Repeats, AgeUs: x.Age.Microseconds(),
	}
}
