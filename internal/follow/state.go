package follow

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilchute/trefoilchute/internal/rollout"
	"github.com/trefoilchute/trefoilchute/internal/ruleset"
	"github.com/trefoilchute/trefoilchute/platform"
)

// state is this host's copy of the store's contents, whichever host has read them. All times
// are on the clock of package clock.
type state struct {
	mu      sync.Mutex
	ruleset *ruleset.Ruleset
	// confirmed is when the ruleset was last confirmed to be the newest; 0 if never.
	confirmed time.Duration

	endpoints []platform.Endpoint
	// sum is the hash of the endpoints, and readAt the last time for which they are known to be
	// correct; 0 if there is none.
	sum    uint64
	readAt time.Duration

	// orders are the roll-out orders, and ordersAt is the last time for which they are known to
	// be correct; 0 if there is none.
	orders   []rollout.Order
	ordersAt time.Duration
	// era is the era of the store that was last read or told.
	era platform.Era
	// earlier holds the last lists of endpoints before this one.
	earlier []list
	// wantsAll is set if the next query has to be for all endpoints.
	wantsAll bool
}

// unconfirmed is the time of a ruleset that is not known to have been the newest at any time.
const unconfirmed = time.Duration(0)

// adoptRuleset takes over a ruleset that was the newest at a given time, or unconfirmed. It
// reports whether it is newer than the one in force. The version in force never decreases.
func (s *state) adoptRuleset(r *ruleset.Ruleset, at time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	newer := s.ruleset == nil || r.Version > s.ruleset.Version
	if newer {
		s.ruleset = r
	}
	if r.Version == s.ruleset.Version {
		s.confirmed = max(s.confirmed, at)
	}
	return newer
}

// confirm records that the ruleset in force was still the newest at a given time, if it has
// the given version.
func (s *state) confirm(version uint64, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ruleset != nil && s.ruleset.Version == version {
		s.confirmed = max(s.confirmed, at)
	}
}

// adoptEndpoints takes over the endpoints as of a given time, unless those known are more
// recent. It reports whether they differ from those known.
func (s *state) adoptEndpoints(list []platform.Endpoint, at time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at <= s.readAt {
		return false
	}
	first := s.readAt == 0
	s.readAt = at
	sum := hashEndpoints(list)
	if sum == s.sum && !first {
		return false
	}
	s.setEndpoints(list, sum)
	return true
}

// adoptUncertain takes over a list of endpoints that includes some that may be gone, because
// they have been missing since the store was unavailable. A certain list from another host
// takes precedence. It reports whether the list differs from the one known.
func (s *state) adoptUncertain(list []platform.Endpoint, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := hashEndpoints(list)
	if s.readAt > 0 && now-s.readAt < outage || sum == s.sum {
		return false
	}
	s.setEndpoints(list, sum)
	return true
}

// noteEra takes the era of the store as it was read.
func (s *state) noteEra(era platform.Era) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// tellEra takes the era of the store that another host tells. It reports whether that is a later one than
// was known.
func (s *state) tellEra(era platform.Era) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.era.Named && era.Number <= s.era.Number {
		return false
	}
	s.era = era
	return true
}

// knowledge returns what this host knows of the configuration.
func (s *state) knowledge(now time.Duration) knowledge {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := knowledge{age: ageAt(now, s.confirmed)}
	if s.ruleset != nil {
		k.version = s.ruleset.Version
	}
	return k
}

// known returns the endpoints and the time for which they are known to be correct.
func (s *state) known() ([]platform.Endpoint, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints, s.readAt
}

// confirmEndpoints records that the endpoints were unchanged at a given time.
func (s *state) confirmEndpoints(sum uint64, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sum == s.sum && s.readAt > 0 {
		s.readAt = max(s.readAt, at)
	}
}

// ages returns the time since the ruleset and the endpoints were known to be current, or
// never.
func (s *state) ages(now time.Duration) (rules, endpoints time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ageAt(now, s.confirmed), ageAt(now, s.readAt)
}

// never is the age of data that was never known.
const never = time.Duration(-1)

func ageAt(now, at time.Duration) time.Duration {
	if at == 0 {
		return never
	}
	return max(0, now-at)
}

// hashEndpoints returns a hash of the relevant fields of endpoints that are sorted by name.
func hashEndpoints(list []platform.Endpoint) uint64 {
	d := xxhash.New()
	var b [8]byte
	number := func(n uint64) {
		binary.BigEndian.PutUint64(b[:], n)
		_, _ = d.Write(b[:])
	}
	for i := range list {
		e := &list[i]
		for _, text := range []string{string(e.Name), e.Target, e.Address, string(e.Domain)} {
			number(uint64(len(text)))
			_, _ = d.WriteString(text)
		}
		number(uint64(e.Slots))
		number(uint64(e.Started))
		if e.Leaving {
			number(1)
		}
		if e.Version != "" {
			number(uint64(len(e.Version)))
			_, _ = d.WriteString(e.Version)
		}
	}
	return d.Sum64()
}
