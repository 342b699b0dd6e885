package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/rendezvous"
)

// ringPosition is a host's position on the ring of its domain. Positions are hashes of
// the name, so that the hosts of a rack, which often have adjacent names and fail
// together, aren't probed only by each other.
type ringPosition struct {
	hash uint64
	host ident.Host
}

// compare orders positions along the ring.
func (p ringPosition) compare(q ringPosition) int {
	if c := cmp.Compare(p.hash, q.hash); c != 0 {
		return c
	}
	return cmp.Compare(p.host, q.host)
}

// target is a host of this host's domain that it probes.
type target struct {
	host ident.Host
	// gossip says that pings to the host carry gossip.
	gossip bool
}

// targets returns the hosts of this host's domain that it probes: all others in a
// small domain, else those at the ring offsets 1, 2, 4 and so on.
func (s *System) targets() []target {
	ring := s.ring()
	own := slices.IndexFunc(ring, func(p ringPosition) bool { return p.host == s.cfg.Self })
	at := func(offset int) ident.Host { return ring[(own+offset)%len(ring)].host }
	var targets []target
	if len(ring) <= FullProbeSize {
		for offset := 1; offset < len(ring); offset++ {
			targets = append(targets, target{host: at(offset), gossip: true})
		}
		return targets
	}
	next := 1
	for offset := 1; offset < len(ring); offset *= 2 {
		targets = append(targets, target{host: at(offset), gossip: offset == next})
		if offset == next {
			next *= gossipRatio
		}
	}
	return targets
}

// ring returns this host and all others of its domain that aren't dead, in ring
// order.
func (s *System) ring() []ringPosition {
	var ring []ringPosition
	for _, host := range s.order {
		e := s.table[host]
		if host == s.cfg.Self || e.Domain == s.cfg.Domain && e.State != Dead {
			ring = append(ring, ringPosition{hash: xxhash.Sum64String(string(host)), host: host})
		}
	}
	slices.SortFunc(ring, ringPosition.compare)
	return ring
}

// contacts returns the hosts of another domain to ping in this round. It switches to
// others after rounds without an answer.
func (s *System) contacts(domain ident.Domain) []ident.Host {
	hosts := s.Alive(domain)
	if len(hosts) <= contactsPerDomain {
		return hosts
	}
	ranked := rendezvous.Pick(string(s.cfg.Self), hosts, len(hosts))
	skip := s.misses[domain] / maxContactMisses * contactsPerDomain
	picked := make([]ident.Host, 0, contactsPerDomain)
	for i := range contactsPerDomain {
		picked = append(picked, ranked[(skip+i)%len(ranked)])
	}
	return picked
}

// gateway reports whether this host sends gossip to another domain.
func (s *System) gateway(domain ident.Domain) bool {
	hosts := s.Alive(s.cfg.Domain)
	return slices.Contains(rendezvous.Pick("gateway/"+string(domain), hosts, gatewaysPerDomain), s.cfg.Self)
}

// maxContactMisses is the number of unanswered rounds after which other
// contacts are tried.
const maxContactMisses = 2

// helpers returns the hosts that are asked for indirect probes of a target, with
// those of this host's domain preferred.
func (s *System) helpers(target ident.Host) []ident.Host {
	var near, far []ident.Host
	for _, host := range s.order {
		e := s.table[host]
		switch {
		case host == s.cfg.Self || host == target || e.State != Alive:
		case e.Domain == s.cfg.Domain:
			near = append(near, host)
		case e.Domain != s.cfg.Domain:
			far = append(far, host)
		}
	}
	for _, list := range [][]ident.Host{near, far} {
		s.rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	helpers := slices.Concat(near, far)
	return helpers[:min(indirectProbes, len(helpers))]
}

// unreached returns the dead hosts and the seeds that aren't members yet, sorted.
func (s *System) unreached() []ident.Host {
	var hosts []ident.Host
	for _, host := range s.order {
		if host != s.cfg.Self && s.table[host].State == Dead {
			hosts = append(hosts, host)
		}
	}
	for host := range s.seeds {
		if _, known := s.table[host]; !known {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}
