package membership

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// detectPause starts a rejoin if the time since the last tick is so long that others
// may have declared this host dead. Probes in flight say nothing about their targets
// then, and the suspicion timeouts start again.
func (s *System) detectPause(now time.Duration) {
	if !s.started || now-s.lastTick < PauseLimit {
		return
	}
	clear(s.probes)
	clear(s.relays)
	for host := range s.suspected {
		s.suspected[host] = now + SuspicionTimeout
	}
	s.nextProbe, s.nextContact = now, now
	s.amendSelf(func(*Member) {})
	s.beginRejoin(now)
}

// beginRejoin marks this host's view as stale until another host has answered.
func (s *System) beginRejoin(now time.Duration) {
	s.pauses++
	s.rejoining = true
	s.rejoinBy = now + RejoinTimeout
	s.rejoinAfter = s.seq
}

// probeAnswered ends the rejoin if the answered ping was sent after it began.
func (s *System) probeAnswered(seq uint64) {
	if seq > s.rejoinAfter {
		s.rejoining = false
	}
}

// endRejoin ends the rejoin if no host has answered in time: this host is alone or
// partitioned and continues with its own view.
func (s *System) endRejoin(now time.Duration) {
	if s.rejoining && now >= s.rejoinBy {
		s.rejoining = false
	}
}

// Paused reports whether this host's view may be stale: it has not ticked for so
// long that others may have declared it dead, or it is rejoining after such a pause.
// Earlier decisions must not be acted on. Call it first after each wake-up.
func (s *System) Paused(now time.Duration) bool {
	return s.rejoining || s.started && now-s.lastTick >= PauseLimit
}

// PauseCount returns how often this host found that it was paused or declared dead.
// A holder of leases or epochs gives them up whenever the count has changed.
func (s *System) PauseCount() uint64 {
	return s.pauses
}

// Fresh reports whether no other host has answered since the start, although the
// platform's list contains some.
func (s *System) Fresh() bool {
	return s.fresh && len(s.seeds) > 0
}

// StableSince reports whether no host is suspect and no host of this host's domain has
// died or departed since the given time.
func (s *System) StableSince(since time.Duration) bool {
	if len(s.suspected) > 0 {
		return false
	}
	for host, at := range s.diedAt {
		if at >= since && s.table[host].Domain == s.cfg.Domain {
			return false
		}
	}
	return true
}

// Minority reports whether this host may be on the minority side of a partition
// that it can't detect otherwise: its failure domain is the only one, and at least
// half of the hosts were lost without announcing their departure.
func (s *System) Minority() bool {
	if len(s.lost) == 0 || len(s.Domains()) > 1 {
		return false
	}
	return len(s.lost) >= len(s.ring())
}

// Superseded reports whether a later incarnation of this host has been seen.
// The process should stop.
func (s *System) Superseded() bool {
	return s.superseded
}

// Leave announces that this host is draining. It continues to answer probes.
func (s *System) Leave(now time.Duration, out *system.Outbox) {
	if s.departed || s.self().State == Leaving {
		return
	}
	s.amendSelf(func(m *Member) { m.State = Leaving })
	s.announce(now, out)
}

// Depart announces that this host is gone, right before its process ends. The system
// does nothing afterwards.
func (s *System) Depart(now time.Duration, out *system.Outbox) {
	if s.departed {
		return
	}
	s.amendSelf(func(m *Member) { m.State = Dead })
	s.announce(now, out)
	s.departed = true
}

// announce sends the change to the probed hosts and contacts at once.
func (s *System) announce(now time.Duration, out *system.Outbox) {
	s.probeRound(now, out)
	s.contactRound(now, out)
}

// LostAt returns when a host was declared dead, and whether it is dead without
// having announced its departure.
func (s *System) LostAt(host ident.Host) (time.Duration, bool) {
	at, ok := s.diedAt[host]
	return at, ok && s.lost[host]
}
