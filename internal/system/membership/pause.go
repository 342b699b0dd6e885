package membership

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// notePause begins to rejoin when the time since the last tick is so long that
// others may have taken this host for dead. Probes that were under way tell
// nothing about their targets, and suspects get their whole time again.
func (s *System) notePause(now time.Duration) {
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

// beginRejoin marks the own view as stale until another host has answered.
func (s *System) beginRejoin(now time.Duration) {
	s.pauses++
	s.rejoining = true
	s.rejoinBy = now + RejoinTimeout
	s.rejoinAfter = s.seq
}

// answered ends the rejoining when another host has answered a ping that was
// sent since it began.
func (s *System) answered(seq uint64) {
	if seq > s.rejoinAfter {
		s.rejoining = false
	}
}

// endRejoin ends the rejoining when nobody has answered in time: the host is
// alone or cut off and goes on with its own view.
func (s *System) endRejoin(now time.Duration) {
	if s.rejoining && now >= s.rejoinBy {
		s.rejoining = false
	}
}

// Paused reports whether this host's view may be stale: it has not ticked for
// so long that others may have taken it for dead, or it has noticed that and
// has not heard from another host since. What it decided before must not be
// acted on. Call it before anything else after a wake-up.
func (s *System) Paused(now time.Duration) bool {
	return s.rejoining || s.started && now-s.lastTick >= PauseLimit
}

// PauseCount counts how often this host found itself paused or taken for dead.
// A holder of leases or epochs gives them up whenever the count has changed.
func (s *System) PauseCount() uint64 {
	return s.pauses
}

// Fresh reports whether no other host has answered since the start, although
// the platform's list named some.
func (s *System) Fresh() bool {
	return s.fresh && len(s.seeds) > 0
}

// StableSince reports whether no host of the own domain has died or departed since a
// time, nor is suspect.
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

// Minority reports whether this host may be on the smaller side of a cut that
// nothing else tells it of: its failure domain is the only one, and at least
// half of the hosts were lost without a word.
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

// Leave announces that this host takes no new part. It keeps answering probes.
func (s *System) Leave(now time.Duration, out *system.Outbox) {
	if s.departed || s.self().State == Leaving {
		return
	}
	s.amendSelf(func(m *Member) { m.State = Leaving })
	s.announce(now, out)
}

// Depart announces that this host is gone, as the last thing before its
// process ends. The system does nothing more afterwards.
func (s *System) Depart(now time.Duration, out *system.Outbox) {
	if s.departed {
		return
	}
	s.amendSelf(func(m *Member) { m.State = Dead })
	s.announce(now, out)
	s.departed = true
}

// announce brings the change to the probed hosts and contacts at once.
func (s *System) announce(now time.Duration, out *system.Outbox) {
	s.probeRound(now, out)
	s.contactRound(now, out)
}

// LostAt returns when a host was found dead that had not announced its departure.
func (s *System) LostAt(host ident.Host) (time.Duration, bool) {
	at, ok := s.diedAt[host]
	return at, ok && s.lost[host]
}
