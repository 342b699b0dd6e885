package membership

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// probe is a ping that has not been answered.
type probe struct {
	target      ident.Host
	incarnation uint64
	sentAt      time.Duration
	// carried is the progress that a direct answer acknowledges.
	carried progress
	// watch says that the target becomes suspect if it doesn't answer. It is not
	// set for pings to contacts, to dead hosts and on another host's behalf.
	watch bool
	// indirect says that indirect probes were requested.
	indirect bool
}

// relay is a probe made on another host's behalf.
type relay struct {
	asker ident.Host
	seq   uint64
}

// Tick handles expired timeouts and starts the rounds of probes that are due.
func (s *System) Tick(now time.Duration, out *system.Outbox) {
	s.detectPause(now)
	s.lastTick = now
	if !s.started {
		s.started = true
		s.nextProbe = now
		s.nextContact = now
	}
	s.expireProbes(now, out)
	s.expireSuspects(now)
	s.forgetDead(now)
	s.endRejoin(now)
	if s.departed {
		return
	}
	if s.urgent {
		at := max(now+urgentDelay, s.lastRound+urgentInterval)
		s.nextProbe = min(s.nextProbe, at)
		s.nextContact = min(s.nextContact, at)
	}
	if now >= s.nextContact {
		s.contactRound(now, out)
		s.nextContact = now + ContactInterval
	}
	if now >= s.nextProbe {
		s.probeRound(now, out)
		s.nextProbe = now + ProbeInterval
	}
}

// NextWake returns when Tick is next due. After Depart it returns the maximum
// duration, because Tick is never due again.
func (s *System) NextWake() time.Duration {
	if s.departed {
		return math.MaxInt64
	}
	if !s.started {
		return 0
	}
	wake := min(s.nextProbe, s.nextContact)
	if s.urgent {
		wake = min(wake, max(s.lastTick+urgentDelay, s.lastRound+urgentInterval))
	}
	for _, p := range s.probes {
		if p.watch && !p.indirect {
			wake = min(wake, p.sentAt+AckTimeout)
		} else {
			wake = min(wake, p.sentAt+ProbeTimeout)
		}
	}
	for _, by := range s.suspected {
		wake = min(wake, by)
	}
	return wake
}

// probeRound pings the targets in this host's domain and a few unreached hosts that
// may have returned.
func (s *System) probeRound(now time.Duration, out *system.Outbox) {
	s.lastRound = now
	s.urgent = false
	s.allowTableRequests()
	for _, t := range s.targets() {
		s.ping(now, t.host, true, t.gossip, out)
	}
	hosts := s.unreached()
	for range min(maxUnreachedProbes, len(hosts)) {
		s.nextUnreached++
		s.probeUnreached(now, hosts[s.nextUnreached%len(hosts)], out)
	}
}

// contactRound pings this host's contacts in the other domains.
func (s *System) contactRound(now time.Duration, out *system.Outbox) {
	for _, domain := range s.Domains() {
		if domain == s.cfg.Domain {
			continue
		}
		s.misses[domain]++
		gossip := s.gateway(domain)
		for _, host := range s.contacts(domain) {
			s.ping(now, host, false, gossip, out)
		}
	}
}

// ping probes a host. With gossip the ping carries the changes that the host lacks.
// Without, it tells a suspect about the suspicion so that it can refute it.
func (s *System) ping(now time.Duration, host ident.Host, watch, gossip bool, out *system.Outbox) {
	var members []*peerpb.Member
	carried := s.acked[host]
	if gossip {
		members, carried = s.changesFor(host)
	} else if e := s.table[host]; e.State == Suspect {
		members = append(members, toWire(&e.Member, false))
	}
	s.sendPing(now, &probe{target: host, carried: carried, watch: watch}, members, out)
}

// probeUnreached pings a dead host or an unknown seed. The ping carries only this host's
// row and the target's.
func (s *System) probeUnreached(now time.Duration, host ident.Host, out *system.Outbox) {
	members := []*peerpb.Member{toWire(&s.self().Member, false)}
	if e, ok := s.table[host]; ok {
		members = append(members, toWire(&e.Member, false))
	}
	s.sendPing(now, &probe{target: host}, members, out)
}

// sendPing records a probe and sends its ping. It returns the sequence number.
func (s *System) sendPing(now time.Duration, p *probe, members []*peerpb.Member, out *system.Outbox) uint64 {
	s.seq++
	p.sentAt = now
	if e, ok := s.table[p.target]; ok {
		p.incarnation = e.Incarnation
	}
	s.probes[s.seq] = p
	out.Send(p.target, s.newPing(p.target, members))
	return s.seq
}

// expireProbes requests indirect probes of hosts that didn't answer in time, and
// suspects those that didn't answer these either.
func (s *System) expireProbes(now time.Duration, out *system.Outbox) {
	for _, seq := range slices.Sorted(maps.Keys(s.probes)) {
		p := s.probes[seq]
		waited := now - p.sentAt
		if waited >= ProbeTimeout {
			delete(s.probes, seq)
			delete(s.relays, seq)
			if p.watch {
				s.suspect(now, p)
			}
			continue
		}
		if p.watch && !p.indirect && waited >= AckTimeout {
			p.indirect = true
			for _, helper := range s.helpers(p.target) {
				out.Send(helper, pingReq(seq, p.target))
			}
		}
	}
}

// suspect starts the suspicion of a host that failed a probe, unless the host has a
// new incarnation. A leaving host stays Leaving until it is declared dead.
func (s *System) suspect(now time.Duration, p *probe) {
	e, ok := s.table[p.target]
	if !ok || e.Incarnation != p.incarnation || e.State == Dead {
		return
	}
	if _, already := s.suspected[p.target]; already {
		return
	}
	s.suspected[p.target] = now + SuspicionTimeout
	if e.State == Alive {
		m := e.Member
		m.State = Suspect
		s.replace(m, s.cfg.Self)
	}
}

// expireSuspects declares suspects dead whose suspicion has timed out.
func (s *System) expireSuspects(now time.Duration) {
	for _, host := range slices.Sorted(maps.Keys(s.suspected)) {
		if now < s.suspected[host] {
			continue
		}
		delete(s.suspected, host)
		m := s.table[host].Member
		m.State = Dead
		s.replace(m, s.cfg.Self)
		s.markDead(now, host)
		s.lost[host] = true
	}
}

// markDead records a host's death and drops the state that is kept for live hosts.
func (s *System) markDead(now time.Duration, host ident.Host) {
	s.diedAt[host] = now
	delete(s.suspected, host)
	delete(s.acked, host)
}

// forgetDead removes the hosts that have been dead for ForgetAfter.
func (s *System) forgetDead(now time.Duration) {
	for host, at := range s.diedAt {
		if now-at < ForgetAfter {
			continue
		}
		delete(s.diedAt, host)
		delete(s.lost, host)
		delete(s.table, host)
		delete(s.seeds, host)
		at, _ := slices.BinarySearch(s.order, host)
		s.order = slices.Delete(s.order, at, at+1)
	}
}
