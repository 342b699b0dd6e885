package scheduling

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// step runs a pool's scheduler with what is pending and sends out what it
// decides. During warm-up nothing runs.
func (s *System) step(now time.Duration, in *instance, out *system.Outbox) {
	if in.scheduler == nil {
		if s.held || !in.warm(now) {
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

// start ends the warm-up. The epoch is above every epoch that a live host has
// seen, so that custodians can tell an earlier scheduler's grants.
func (s *System) start(now time.Duration, in *instance) {
	in.epoch = in.seenEpoch + 1
	in.awaited = nil
	in.config = pool.Config{Pool: in.pool, Epoch: in.epoch, Seed: s.cfg.Seed}
	in.scheduler = pool.New(in.config)
	first := []pool.Event{configure(s.snapshot, in.pool)}
	if list := s.suspectList(now); len(list) > 0 {
		first = append(first, pool.Suspects{List: list})
	}
	in.pending = append(first, in.pending...)
}

// suspectList returns the known suspects in a fixed order.
func (s *System) suspectList(now time.Duration) []pool.Suspect {
	var list []pool.Suspect
	for _, m := range s.Suspects(now) {
		list = append(list, s.suspects[suspectKey{m.GetKeyHash(), m.GetFingerprint()}].at(now))
	}
	return list
}

// send turns a decision into messages.
func (s *System) send(now time.Duration, in *instance, e pool.Effect, out *system.Outbox) {
	switch e := e.(type) {
	case pool.Grant:
		out.Send(e.Host, peerpb.Wrap(&peerpb.Envelope_Grant{Grant: grant(in, e)}))
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
	case pool.Publish:
		s.publish(now, e, out)
	}
}

// grant returns a grant's message, with its expiry on the custodian's clock.
func grant(in *instance, e pool.Grant) *peerpb.Grant {
	return &peerpb.Grant{
		Request: string(e.ID), Target: in.pool.Target, Domain: string(in.pool.Domain),
		Endpoint: string(e.Endpoint), Attempt: uint64(e.Attempt), Epoch: in.epoch,
		ExpiresAtUs: (e.Expires + in.custodians[e.Host].offset).Microseconds(),
		Isolated:    e.Isolated, Why: e.Why,
	}
}

// publish tells every live host about suspects.
func (s *System) publish(now time.Duration, e pool.Publish, out *system.Outbox) {
	m := &peerpb.Quarantine{}
	for _, x := range e.List {
		s.keepSuspect(now, x)
		m.Suspects = append(m.Suspects, suspectMessage(x))
	}
	for _, h := range s.cfg.View.Alive() {
		if h != s.cfg.Self {
			out.Send(h, peerpb.Wrap(&peerpb.Envelope_Quarantine{Quarantine: m}))
		}
	}
}

// sendStatus tells the schedulers of the same target in other domains how much
// room there is here.
func (s *System) sendStatus(out *system.Outbox) {
	for _, p := range s.owned() {
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
				out.Send(host, peerpb.Wrap(&peerpb.Envelope_PoolStatus{PoolStatus: room(in)}))
			}
		}
	}
}

// tellSuspects tells the schedulers of the same targets in other domains of suspects: a
// cut may have kept from them what was published.
func (s *System) tellSuspects(now time.Duration, out *system.Outbox) {
	list := s.Suspects(now)
	if len(list) == 0 {
		return
	}
	told := map[ident.Host]bool{s.cfg.Self: true}
	for _, p := range s.owned() {
		for _, d := range s.cfg.View.HostDomains() {
			host, ok := s.cfg.View.Scheduler(ident.Pool{Target: p.Target, Domain: d})
			if ok && !told[host] {
				told[host] = true
				out.Send(host, peerpb.Wrap(&peerpb.Envelope_Quarantine{Quarantine: &peerpb.Quarantine{Suspects: list}}))
			}
		}
	}
}

// room returns the word to other domains on a pool's room.
func room(in *instance) *peerpb.PoolStatus {
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
