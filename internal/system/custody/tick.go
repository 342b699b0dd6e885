package custody

import (
	"maps"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// Tick handles what time brings: passed deadlines, expired grants, unanswered
// submissions, changed schedulers and periodic reports.
func (s *System) Tick(now time.Duration, out *system.Outbox) {
	kept := s.order[:0]
	for _, r := range s.order {
		if s.entries[r.ID] != r {
			continue
		}
		s.tickEntry(now, r, out)
		if s.entries[r.ID] == r {
			kept = append(kept, r)
		}
	}
	clear(s.order[len(kept):])
	s.order = kept
	maps.DeleteFunc(s.backoffs, func(_ ident.Endpoint, b backoff) bool { return b.until <= now })
	if now >= s.holdingsAt {
		s.holdingsAt = now + holdingsInterval
		s.sendHoldings(now, out)
	}
}

// tickEntry applies Tick to one request.
func (s *System) tickEntry(now time.Duration, r *entry, out *system.Outbox) {
	if r.state == stateDispatched {
		return
	}
	if now >= r.Deadline {
		s.withdraw(now, r, out)
		s.refuse(r, result.New(result.Expired, "the deadline passed in the queue"))
		return
	}
	switch r.state {
	case stateGranted:
		if now >= r.grantExpires {
			s.declineGrant(now, r, false, out)
		}
	case stateQueued:
		s.tickQueued(now, r, out)
	}
}

// tickQueued submits a request again if its scheduler has changed, is unknown or
// didn't acknowledge it, and refreshes it otherwise when that is due.
func (s *System) tickQueued(now time.Duration, r *entry, out *system.Outbox) {
	sched, ok := s.cfg.View.Scheduler(r.pool)
	moved := ok && sched != r.scheduler
	if moved && sched.Host != r.scheduler.Host {
		s.withdraw(now, r, out)
	}
	unanswered := !r.accepted && now-r.submittedAt >= acceptTimeout
	if unanswered && !r.declined {
		s.cfg.View.Unresponsive(r.scheduler.Host)
	}
	r.declined = false
	if !ok || moved || unanswered {
		s.submit(now, r, out)
		return
	}
	if now-r.submittedAt >= refreshInterval {
		s.refresh(now, r, out)
	}
}

// NextWake returns when Tick is next due. It returns false while there are no
// requests and no pool awaits a final holdings report.
func (s *System) NextWake(now time.Duration) (time.Duration, bool) {
	if len(s.entries) == 0 && len(s.reported) == 0 {
		return 0, false
	}
	return now + tickInterval, true
}

// sendHoldings reports all dispatched requests to the schedulers, so that a lost
// report doesn't leave their accounts wrong for long. A pool that has become empty
// is reported once more.
func (s *System) sendHoldings(now time.Duration, out *system.Outbox) {
	running := map[ident.Pool][]*peerpb.Running{}
	var pools []ident.Pool
	for _, r := range s.order {
		if r.state != stateDispatched {
			continue
		}
		if running[r.pool] == nil {
			pools = append(pools, r.pool)
		}
		report := r.running(now)
		if sched, ok := s.cfg.View.Scheduler(r.pool); ok && sched == r.scheduler {
			// The process that granted the request knows its parts, which can take kilobytes.
			report.Request.Parts = nil
		}
		running[r.pool] = append(running[r.pool], report)
	}
	for _, pool := range sortedPools(s.reported) {
		if running[pool] == nil {
			pools = append(pools, pool)
		}
	}
	s.reported = map[ident.Pool]bool{}
	for _, pool := range pools {
		if len(running[pool]) > 0 {
			s.reported[pool] = true
		}
		if sched, ok := s.cfg.View.Scheduler(pool); ok {
			out.Send(sched.Host, peerpb.Wrap(&peerpb.Envelope_Holdings{Holdings: &peerpb.Holdings{
				Target: pool.Target, Domain: string(pool.Domain), Epoch: s.epochs[pool],
				Running: running[pool], ClockUs: now.Microseconds(),
			}}))
		}
	}
}

// TakeOver answers a new scheduler with the requests that this host has in the pool.
// Waiting requests are handed over only if this host too considers the sender's host
// to be the scheduler: a host asks all custodians as soon as one of them does.
func (s *System) TakeOver(now time.Duration, from Scheduler, m *peerpb.TakeOver, suspects []*peerpb.Suspect, out *system.Outbox) {
	pool := ident.Pool{Target: m.GetTarget(), Domain: ident.Domain(m.GetDomain())}
	h := &peerpb.Holdings{
		Target: pool.Target, Domain: string(pool.Domain), Epoch: s.epochs[pool],
		Suspects: suspects, TakeOver: true, ClockUs: now.Microseconds(),
	}
	for _, r := range s.order {
		if s.entries[r.ID] != r || r.pool != pool {
			continue
		}
		switch r.state {
		case stateDispatched:
			h.Running = append(h.Running, r.running(now))
		case stateQueued:
			if !s.schedules(from, pool) {
				continue
			}
			r.scheduler = from
			r.accepted = false
			r.submittedAt = now
			h.Waiting = append(h.Waiting, r.submission(now, s.epochs[r.pool]))
		}
	}
	out.Send(from.Host, peerpb.Wrap(&peerpb.Envelope_Holdings{Holdings: h}))
}

// schedules reports whether this host considers from's host to be the scheduler of a
// pool. The incarnation is ignored because membership may not know the latest yet.
func (s *System) schedules(from Scheduler, pool ident.Pool) bool {
	sched, ok := s.cfg.View.Scheduler(pool)
	return ok && sched.Host == from.Host
}
