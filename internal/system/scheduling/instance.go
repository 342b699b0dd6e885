package scheduling

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool"
)

// runningKey names a dispatched request.
type runningKey struct {
	request ident.Request
	attempt ident.Attempt
}

// runningRow is a dispatched request as last heard of.
type runningRow struct {
	host  ident.Host
	heard time.Duration
}

// instance is one pool scheduled here.
type instance struct {
	pool ident.Pool
	// scheduler is nil during warm-up: nothing is granted before what runs
	// already is known.
	scheduler *pool.Scheduler
	epoch     uint64
	seenEpoch uint64
	warmUntil time.Duration
	// awaited holds the hosts whose holdings haven't come.
	awaited map[ident.Host]bool
	// pending holds the events for the next step.
	pending []pool.Event
	running map[runningKey]runningRow
	// offsets turns this host's clock into a custodian's: the largest of
	// (custodian's reading - own clock at receipt), which is too small by the
	// shortest network delay seen.
	offsets map[ident.Host]time.Duration
	// movedAt is when the pool went to another host; 0 while it is here.
	movedAt time.Duration
}

// newInstance returns a pool in warm-up.
func newInstance(now time.Duration, p ident.Pool, hosts []ident.Host) *instance {
	in := &instance{
		pool:      p,
		warmUntil: now + warmUpLimit,
		awaited:   map[ident.Host]bool{},
		running:   map[runningKey]runningRow{},
		offsets:   map[ident.Host]time.Duration{},
	}
	for _, h := range hosts {
		in.awaited[h] = true
	}
	return in
}

// queue adds an event to the next step.
func (in *instance) queue(e pool.Event) {
	in.pending = append(in.pending, e)
}

// warm reports whether the scheduler may start.
func (in *instance) warm(now time.Duration) bool {
	return len(in.awaited) == 0 || now >= in.warmUntil
}

// nextWake returns when the instance is due.
func (in *instance) nextWake() (time.Duration, bool) {
	if in.scheduler == nil {
		return in.warmUntil, true
	}
	return in.scheduler.NextWake()
}

// awaitedHosts lists the hosts whose holdings are wanted.
func (in *instance) awaitedHosts() []ident.Host {
	return slices.Sorted(maps.Keys(in.awaited))
}

// hosts lists the custodians heard of.
func (in *instance) hosts() []ident.Host {
	return slices.Sorted(maps.Keys(in.offsets))
}

// forgetHost drops what is known of a dead custodian.
func (in *instance) forgetHost(h ident.Host) {
	delete(in.offsets, h)
	delete(in.awaited, h)
	for key, row := range in.running {
		if row.host == h {
			delete(in.running, key)
		}
	}
}

// readClock takes a custodian's clock reading.
func (in *instance) readClock(now time.Duration, h ident.Host, clockMicros int64) {
	offset := time.Duration(clockMicros)*time.Microsecond - now
	if old, ok := in.offsets[h]; !ok || offset > old {
		in.offsets[h] = offset
	}
}

// noteRunning records that a dispatched request was heard of.
func (in *instance) noteRunning(now time.Duration, h ident.Host, key runningKey) {
	in.running[key] = runningRow{host: h, heard: now}
}

// missing returns, in order, the dispatched requests of a host that its
// complete list doesn't name and that were last heard of too long ago for
// their report to be under way.
func (in *instance) missing(now time.Duration, h ident.Host, listed map[runningKey]bool) []runningKey {
	var gone []runningKey
	for key, row := range in.running {
		if row.host == h && !listed[key] && now-row.heard > missingGrace {
			gone = append(gone, key)
		}
	}
	slices.SortFunc(gone, func(a, b runningKey) int {
		return cmp.Or(cmp.Compare(a.request, b.request), cmp.Compare(a.attempt, b.attempt))
	})
	return gone
}
