package follow

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilchute/trefoilchute/internal/ruleset"
	"github.com/trefoilchute/trefoilchute/platform"
)

// state is what this host knows of the store, whoever has read it. All times are on
// the clock of package clock.
type state struct {
	mu    sync.Mutex
	rules *ruleset.Ruleset
	// confirmed is when the rules were last known to be the newest; 0: never.
	confirmed time.Duration

	endpoints []platform.Endpoint
	// sum is the hash of the endpoints and readAt when they were as they are here;
	// 0: never.
	sum    uint64
	readAt time.Duration
}

// adoptRules takes rules that were the newest at a time. It reports whether they are
// newer than those in force, which never fall back.
func (s *state) adoptRules(r *ruleset.Ruleset, at time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	newer := s.rules == nil || r.Version > s.rules.Version
	if newer {
		s.rules = r
	}
	if r.Version == s.rules.Version {
		s.confirmed = max(s.confirmed, at)
	}
	return newer
}

// confirm notes that the rules in force were still the newest at a time, if they are
// of the given version.
func (s *state) confirm(version uint64, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rules != nil && s.rules.Version == version {
		s.confirmed = max(s.confirmed, at)
	}
}

// adoptEndpoints takes the endpoints as they were at a time. It reports whether they
// differ from those known, and takes none that are older.
func (s *state) adoptEndpoints(list []platform.Endpoint, at time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at <= s.readAt {
		return false
	}
	first := s.readAt == 0
	s.readAt = at
	sum := sumOf(list)
	if sum == s.sum && !first {
		return false
	}
	s.endpoints, s.sum = list, sum
	return true
}

// adoptUnsure takes endpoints among which are some that may be gone: the store was
// away and they are missing since. What another host knows for sure goes before. It
// reports whether they differ from those known.
func (s *state) adoptUnsure(list []platform.Endpoint, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := sumOf(list)
	if s.readAt > 0 && now-s.readAt < outage || sum == s.sum {
		return false
	}
	s.endpoints, s.sum = list, sum
	return true
}

// known returns the endpoints and when they were as they are here.
func (s *state) known() ([]platform.Endpoint, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints, s.readAt
}

// confirmEndpoints notes that the endpoints were the same at a time.
func (s *state) confirmEndpoints(sum uint64, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sum == s.sum && s.readAt > 0 {
		s.readAt = max(s.readAt, at)
	}
}

// ages returns how long ago rules and endpoints were known to be current; negative
// if never.
func (s *state) ages(now time.Duration) (rules, endpoints time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ageAt(now, s.confirmed), ageAt(now, s.readAt)
}

// never stands for the age of what was never known.
const never = time.Duration(-1)

func ageAt(now, at time.Duration) time.Duration {
	if at == 0 {
		return never
	}
	return max(0, now-at)
}

// sumOf returns the hash of what matters of endpoints that are sorted by name.
func sumOf(list []platform.Endpoint) uint64 {
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
	}
	return d.Sum64()
}
