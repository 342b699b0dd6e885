package platform

import (
	"bytes"
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/platform"
)

// store is the state behind Server and Fake: the services' data, the switches
// and the counters. It is safe for concurrent use and never blocks for long.
type store struct {
	mu       sync.Mutex
	options  Options
	switches Switches
	counters Counters

	table   *table
	objects map[string][]byte
	hosts   *hostList
	// nextWeight is when the weight store gives the next leave.
	nextWeight time.Time
	reads      *bucket
	writes     *bucket
}

// newStore returns an empty store.
func newStore(options Options) *store {
	return &store{
		options:  options,
		counters: Counters{Operations: map[Operation]uint64{}},
		table:    newTable(),
		objects:  map[string][]byte{},
		hosts:    newHostList(options.HostLag, options.HostMaxAge),
		reads:    newBucket(options.ReadsPerSecond),
		writes:   newBucket(options.WritesPerSecond),
	}
}

// verdict says what the switches do to one call.
type verdict struct {
	// err refuses the call before it has an effect, unless nil.
	err error
	// delay is the time before the effect.
	delay time.Duration
	// drop loses the call before its effect.
	drop bool
	// lose loses the answer after the effect.
	lose bool
}

// admitRead counts a read and returns what the switches do to it.
func (s *store) admitRead(operation Operation, now time.Time) verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Reads++
	s.counters.Operations[operation]++
	return s.admit(s.reads, now)
}

// admitWrite counts a write and returns what the switches do to it.
func (s *store) admitWrite(operation Operation, now time.Time) verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Writes++
	s.counters.Operations[operation]++
	v := s.admit(s.writes, now)
	if v.err != nil {
		return v
	}
	switch {
	case s.switches.DropWrites > 0:
		s.switches.DropWrites--
		v.drop = true
	case s.switches.LoseAnswers > 0:
		s.switches.LoseAnswers--
		v.lose = true
	}
	if v.drop || v.lose {
		s.counters.Lost++
	}
	return v
}

// admit applies the switches that reads and writes have in common.
func (s *store) admit(limit *bucket, now time.Time) verdict {
	if s.switches.Down {
		s.counters.Refused++
		return verdict{err: platform.ErrUnavailable}
	}
	if !limit.take(now) {
		s.counters.Limited++
		return verdict{err: platform.ErrLimited}
	}
	return verdict{delay: s.switches.Delay}
}

// get returns one row.
func (s *store) get(key string) (platform.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.get(key)
}

// list returns rows in key order.
func (s *store) list(prefix, after string, limit int) []platform.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.list(prefix, after, limit)
}

// commit applies a transaction.
func (s *store) commit(txn platform.Txn) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version, err := s.table.commit(txn)
	if err != nil {
		s.counters.Conflicts++
	}
	return version, err
}

// putObject replaces one object.
func (s *store) putObject(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[key] = bytes.Clone(value)
}

// getObject returns a copy of one object.
func (s *store) getObject(key string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.objects[key]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return bytes.Clone(value), nil
}

// listObjects returns the keys with the prefix in order.
func (s *store) listObjects(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := []string{}
	for key := range s.objects {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// reserve gives leave to fetch a weight set, or ErrLimited and the time to
// wait.
func (s *store) reserve(now time.Time) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if wait := s.nextWeight.Sub(now); wait > 0 {
		s.counters.Limited++
		return wait, platform.ErrLimited
	}
	s.nextWeight = now.Add(s.options.WeightInterval)
	return 0, nil
}

// listHosts returns the visible host entries.
func (s *store) listHosts(now time.Time) []platform.HostEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts.list(now)
}

// register adds or refreshes a host entry.
func (s *store) register(entry platform.HostEntry, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts.register(entry, now)
}

// setSwitches replaces all switches.
func (s *store) setSwitches(switches Switches) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.switches = switches
}

// currentSwitches returns the switches as they stand now.
func (s *store) currentSwitches() Switches {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.switches
}

// currentCounters returns the counters as they stand now.
func (s *store) currentCounters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	counters := s.counters
	counters.Operations = maps.Clone(counters.Operations)
	return counters
}
