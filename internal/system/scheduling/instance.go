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

// custodian is a process that holds requests of the pool.
type custodian struct {
	incarnation uint64
	// offset turns this host's clock into the custodian's: the largest of
	// (custodian's reading - own clock at receipt), which is too small by the
	// shortest network delay seen.
	offset time.Duration
	// askedAt is when the custodian was last asked for what it holds.
	askedAt time.Duration
}

// instance is one pool scheduled here.
type instance struct {
	pool ident.Pool
	// scheduler is nil during warm-up: nothing is granted before what runs
	// already is known.
	scheduler *pool.Scheduler
	config    pool.Config
	epoch     uint64
	seenEpoch uint64
	warmUntil time.Duration
	// awaited holds the hosts whose holdings haven't come.
	awaited map[ident.Host]bool
	// asked holds the incarnations of the hosts that were asked for what they hold.
	asked map[ident.Host]uint64
	// pending holds the events for the next step.
	pending []pool.Event
	running map[runningKey]runningRow
	// charged holds what the requests that wait here cost their teams.
	charged map[ident.Request]charge
	// custodians holds the processes that were heard of, by host.
	custodians map[ident.Host]custodian
	// remotes are the domains whose room is known to the scheduler.
	remotes map[ident.Domain]bool
	// movedAt is when the pool went to another host; 0 while it is here.
	movedAt time.Duration
}

// newInstance returns a pool in warm-up.
func newInstance(now time.Duration, p ident.Pool, hosts []ident.Host) *instance {
	in := &instance{
		pool:       p,
		warmUntil:  now + warmUpLimit,
		awaited:    map[ident.Host]bool{},
		asked:      map[ident.Host]uint64{},
		running:    map[runningKey]runningRow{},
		charged:    map[ident.Request]charge{},
		custodians: map[ident.Host]custodian{},
		remotes:    map[ident.Domain]bool{},
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

// hosts lists the custodians heard of.
func (in *instance) hosts() []ident.Host {
	return slices.Sorted(maps.Keys(in.custodians))
}

// loseHost drops what is known of a dead custodian.
func (in *instance) loseHost(h ident.Host) {
	in.queue(pool.HostLost{Host: h})
	delete(in.custodians, h)
	for key, row := range in.running {
		if row.host == h {
			delete(in.running, key)
		}
	}
}

// hear takes the clock reading of a custodian's message. The first message of a
// later incarnation says that the earlier one is dead. It returns false for a
// message of an earlier incarnation, which is to be ignored.
func (in *instance) hear(now time.Duration, from Process, clockMicros int64) bool {
	c, known := in.custodians[from.Host]
	if known && from.Incarnation < c.incarnation {
		return false
	}
	offset := time.Duration(clockMicros)*time.Microsecond - now
	if known && from.Incarnation > c.incarnation {
		in.loseHost(from.Host)
		known = false
	}
	if !known || offset > c.offset {
		in.custodians[from.Host] = custodian{
			incarnation: from.Incarnation, offset: offset, askedAt: c.askedAt,
		}
	}
	return true
}

// noteRunning records that a dispatched request was heard of.
func (in *instance) noteRunning(now time.Duration, h ident.Host, key runningKey) {
	in.running[key] = runningRow{host: h, heard: now}
}

// dropRemotes tells the scheduler which other domains can't be reached any more.
func (in *instance) dropRemotes(reachable []ident.Domain) {
	for _, d := range slices.Sorted(maps.Keys(in.remotes)) {
		if !slices.Contains(reachable, d) {
			delete(in.remotes, d)
			in.queue(pool.Remote{Domain: d, Gone: true})
		}
	}
}

// silentHosts lists the custodians of dispatched requests that were not heard of
// for longer than their regular word takes. Each is listed again only after the
// same time.
func (in *instance) silentHosts(now time.Duration) []ident.Host {
	var silent []ident.Host
	for _, row := range in.running {
		c := in.custodians[row.host]
		if now-row.heard > silentLimit && now-c.askedAt > silentLimit && !slices.Contains(silent, row.host) {
			silent = append(silent, row.host)
		}
	}
	slices.Sort(silent)
	for _, h := range silent {
		c := in.custodians[h]
		c.askedAt = now
		in.custodians[h] = c
	}
	return silent
}

// missing returns, in order, the dispatched requests of a host that its
// complete list doesn't name and that were last heard of longer ago than a
// grace, so that their report isn't under way.
func (in *instance) missing(now time.Duration, h ident.Host, listed map[runningKey]bool, grace time.Duration) []runningKey {
	var gone []runningKey
	for key, row := range in.running {
		if row.host == h && !listed[key] && now-row.heard >= grace {
			gone = append(gone, key)
		}
	}
	slices.SortFunc(gone, func(a, b runningKey) int {
		return cmp.Or(cmp.Compare(a.request, b.request), cmp.Compare(a.attempt, b.attempt))
	})
	return gone
}
