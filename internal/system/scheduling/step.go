package scheduling

import (
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// step runs a pool's scheduler with the pending events and sends its decisions. It does
// nothing during warm-up.
func (s *System) step(now time.Duration, in *instance, out *system.Outbox) {
	if in.scheduler == nil {
		if s.suspended || !in.warmedUp(now) {
			return
		}
		s.start(now, in)
	}
	events := in.pending
	if wake, ok := in.scheduler.NextWake(); len(events) == 0 && (!ok || wake > now) {
		return
	}
	in.pending = nil
	effects := in.scheduler.Step(now, events)
	s.steps = append(s.steps, Step{
		Config: in.config, Now: now, Events: events, Effects: effects, Closings: in.scheduler.Closings(),
	})
	for _, e := range effects {
		s.send(now, in, e, out)
	}
}

// start ends the warm-up. The new epoch is above every epoch that a live host has seen,
// so that custodians can recognize grants of an earlier scheduler.
func (s *System) start(now time.Duration, in *instance) {
	in.epoch = in.seenEpoch + 1
	in.awaited = nil
	in.config = pool.Config{Pool: in.pool, Epoch: in.epoch, Seed: s.cfg.Seed, Domains: s.cfg.Domains, ProtectShares: s.cfg.ProtectShares}
	in.scheduler = pool.New(in.config)
	first := []pool.Event{poolConfiguration(s.snapshot, in.pool)}
	if list := s.sortedSuspects(now); len(list) > 0 {
		first = append(first, pool.Suspects{List: list})
	}
	first = append(first, s.rolloutEvents(now, in.pool)...)
	in.pending = append(first, in.pending...)
}

// sortedSuspects returns the known suspects in a fixed order.
func (s *System) sortedSuspects(now time.Duration) []pool.Suspect {
	var list []pool.Suspect
	for _, m := range s.Suspects(now) {
		list = append(list, s.suspects[suspectKey{m.GetKeyHash(), m.GetFingerprint(), m.GetPart()}].aged(now))
	}
	return list
}

// send sends a decision.
func (s *System) send(now time.Duration, in *instance, e pool.Effect, out *system.Outbox) {
	switch e := e.(type) {
	case pool.Grant:
		out.Send(e.Host, peerpb.Wrap(&peerpb.Envelope_Grant{Grant: grantMessage(in, e)}))
	case pool.Refuse:
		s.refund(in, e.ID)
		out.Send(e.Host, peerpb.Wrap(&peerpb.Envelope_Refuse{Refuse: &peerpb.Refuse{
			Request: string(e.ID), Target: in.pool.Target, Domain: string(in.pool.Domain),
			Code: int32(e.Code), RetryAfterUs: e.RetryAfter.Microseconds(), Reason: e.Reason,
		}}))
	case pool.Spill:
		out.Send(e.Host, peerpb.Wrap(&peerpb.Envelope_Spill{Spill: &peerpb.Spill{
			Request: string(e.ID), Target: in.pool.Target, Domain: string(in.pool.Domain),
			ToDomain: string(e.Domain),
		}}))
	case pool.RolloutDecided:
		s.rolloutDecided(in, e)
	case pool.Publish:
		s.publishSuspects(now, e, out)
	}
}

// grantMessage converts a grant to its message, with the expiry on the custodian's clock.
func grantMessage(in *instance, e pool.Grant) *peerpb.Grant {
	return &peerpb.Grant{
		Request: string(e.ID), Target: in.pool.Target, Domain: string(in.pool.Domain),
		Endpoint: string(e.Endpoint), Attempt: uint64(e.Attempt), Epoch: in.epoch,
		ExpiresAtUs: (e.Expires + in.custodians[e.Host].offset).Microseconds(),
		Isolated:    e.Isolated, Why: e.Why,
	}
}

// publishSuspects records suspects and sends them to all live hosts.
func (s *System) publishSuspects(now time.Duration, e pool.Publish, out *system.Outbox) {
	m := &peerpb.Quarantine{}
	for _, x := range e.List {
		s.recordSuspect(now, x)
		m.Suspects = append(m.Suspects, suspectMessage(x))
	}
	for _, h := range s.cfg.View.Alive() {
		if h != s.cfg.Self {
			out.Send(h, peerpb.Wrap(&peerpb.Envelope_Quarantine{Quarantine: m}))
		}
	}
}

// sendStatus sends the free capacity of each pool to the schedulers of the same target in
// other domains.
func (s *System) sendStatus(out *system.Outbox) {
	for _, p := range s.ownedPools() {
		in := s.instances[p]
		if in.scheduler == nil || in.movedAt > 0 {
			continue
		}
		domains := s.cfg.View.Domains(p.Target)
		in.dropRemotes(domains)
		for _, d := range domains {
			other := ident.Pool{Target: p.Target, Domain: d}
			host, ok := s.cfg.View.Scheduler(other)
			if ok && d != s.cfg.Domain {
				out.Send(host, peerpb.Wrap(&peerpb.Envelope_PoolStatus{PoolStatus: poolStatusMessage(in)}))
			}
		}
	}
}

// resendSuspects sends the suspects to the schedulers of the same targets in other
// domains, which may have missed publications during a network partition. Parts of a
// single crash are left out: they can be many, and are weak evidence.
func (s *System) resendSuspects(now time.Duration, out *system.Outbox) {
	list := slices.DeleteFunc(s.Suspects(now), func(x *peerpb.Suspect) bool { return x.GetPart() && x.GetCrashes() < 2 })
	if len(list) == 0 {
		return
	}
	sent := map[ident.Host]bool{s.cfg.Self: true}
	for _, p := range s.ownedPools() {
		for _, d := range s.cfg.View.HostDomains() {
			host, ok := s.cfg.View.Scheduler(ident.Pool{Target: p.Target, Domain: d})
			if ok && !sent[host] {
				sent[host] = true
				out.Send(host, peerpb.Wrap(&peerpb.Envelope_Quarantine{Quarantine: &peerpb.Quarantine{Suspects: list}}))
			}
		}
	}
}

// poolStatusMessage returns the status message about a pool's free capacity for other
// domains.
func poolStatusMessage(in *instance) *peerpb.PoolStatus {
	r := in.scheduler.Room()
	m := &peerpb.PoolStatus{
		Target: in.pool.Target, Domain: string(in.pool.Domain),
		FreeSlots: int32(r.FreeSlots), LowestRank: int32(r.LowestRank),
	}
	for _, w := range r.Wait {
		m.WaitUs = append(m.WaitUs, w.Microseconds())
	}
	return m
}
