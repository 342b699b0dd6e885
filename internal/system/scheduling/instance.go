package scheduling

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool"
)

// runningKey identifies a dispatched request.
type runningKey struct {
	request ident.Request
	attempt ident.Attempt
}

// runningEntry records the custodian of a dispatched request and the time of its last
// report.
type runningEntry struct {
	host       ident.Host
	lastReport time.Duration
}

// custodian is a process that holds requests of the pool.
type custodian struct {
	incarnation uint64
	// offset converts this host's clock to the custodian's: the maximum of (custodian's
	// clock - own clock at receipt). It is too small by the shortest network delay seen.
	offset time.Duration
	// recentOffset is such a maximum too. It falls slowly, so that the age of messages stays
	// right when the clocks drift apart; it was updated at recentAt.
	recentOffset, recentAt time.Duration
	// queriedAt is the time at which the custodian was last queried for its holdings.
	queriedAt time.Duration
}

// instance is one pool scheduled by this host.
type instance struct {
	pool ident.Pool
	// scheduler is nil during warm-up: nothing is granted before the running requests are
	// known.
	scheduler *pool.Scheduler
	config    pool.Config
	epoch     uint64
	seenEpoch uint64
	warmUntil time.Duration
	// awaited holds the hosts whose holdings have not arrived yet.
	awaited map[ident.Host]bool
	// queried holds the incarnations of the hosts that were queried for their holdings.
	queried map[ident.Host]uint64
	// pending holds the events for the next step.
	pending []pool.Event
	running map[runningKey]runningEntry
	// charged holds the costs that the requests waiting here were charged.
	charged map[ident.Request]charge
	// custodians holds the known custodian processes by host.
	custodians map[ident.Host]custodian
	// remotes holds the domains whose status was passed to the scheduler.
	remotes map[ident.Domain]bool
	// movedAt is the time at which the pool moved to another host; 0 while it is
	// scheduled here.
	movedAt time.Duration
}

// newInstance returns a pool in warm-up that awaits the holdings of the given hosts.
func newInstance(now time.Duration, p ident.Pool, hosts []ident.Host) *instance {
	in := &instance{
		pool:       p,
		warmUntil:  now + warmUpTimeout,
		awaited:    map[ident.Host]bool{},
		queried:    map[ident.Host]uint64{},
		running:    map[runningKey]runningEntry{},
		charged:    map[ident.Request]charge{},
		custodians: map[ident.Host]custodian{},
		remotes:    map[ident.Domain]bool{},
	}
	for _, h := range hosts {
		in.awaited[h] = true
	}
	return in
}

// enqueue adds an event for the next step.
func (in *instance) enqueue(e pool.Event) {
	in.pending = append(in.pending, e)
}

// warmedUp reports whether the scheduler may start.
func (in *instance) warmedUp(now time.Duration) bool {
	return len(in.awaited) == 0 || now >= in.warmUntil
}

// nextWake returns the time at which the instance is due.
func (in *instance) nextWake() (time.Duration, bool) {
	if in.scheduler == nil {
		return in.warmUntil, true
	}
	return in.scheduler.NextWake()
}

// custodianHosts returns the hosts of the known custodians.
func (in *instance) custodianHosts() []ident.Host {
	return slices.Sorted(maps.Keys(in.custodians))
}

// dropHost removes a dead custodian and its requests.
func (in *instance) dropHost(h ident.Host) {
	in.enqueue(pool.HostLost{Host: h})
	delete(in.custodians, h)
	for key, entry := range in.running {
		if entry.host == h {
			delete(in.running, key)
		}
	}
}

// noteMessage updates the clock offset of a custodian from a message. The first message
// of a later incarnation means that the earlier one is dead. It returns false for a
// message of an earlier incarnation, which must be ignored.
func (in *instance) noteMessage(now time.Duration, from Process, clockMicros int64) bool {
	c, known := in.custodians[from.Host]
	if known && from.Incarnation < c.incarnation {
		return false
	}
	offset := time.Duration(clockMicros)*time.Microsecond - now
	if known && from.Incarnation > c.incarnation {
		in.dropHost(from.Host)
		known = false
	}
	if !known || offset > c.offset {
		c = custodian{
			incarnation: from.Incarnation, offset: offset, queriedAt: c.queriedAt,
			recentOffset: c.recentOffset, recentAt: c.recentAt,
		}
	}
	c.recentOffset -= (now - c.recentAt) / clockDriftDivisor
	if !known || offset > c.recentOffset {
		c.recentOffset = offset
	}
	c.recentAt = now
	in.custodians[from.Host] = c
	return true
}

// clockDriftDivisor is the reciprocal of the drift between two hosts' clocks that is allowed
// for: 100 parts per million, twice what common quartz clocks have.
const clockDriftDivisor = 10_000

// messageAge returns how much longer a custodian's message took than its fastest one, after
// noteMessage accepted it.
func (in *instance) messageAge(now time.Duration, from Process, clockMicros int64) time.Duration {
	return max(0, now+in.custodians[from.Host].recentOffset-time.Duration(clockMicros)*time.Microsecond)
}

// noteRunning records a report that a dispatched request is running.
func (in *instance) noteRunning(now time.Duration, h ident.Host, key runningKey) {
	in.running[key] = runningEntry{host: h, lastReport: now}
}

// dropRemotes notifies the scheduler of other domains that are no longer reachable.
func (in *instance) dropRemotes(reachable []ident.Domain) {
	for _, d := range slices.Sorted(maps.Keys(in.remotes)) {
		if !slices.Contains(reachable, d) {
			delete(in.remotes, d)
			in.enqueue(pool.Remote{Domain: d, Gone: true})
		}
	}
}

// unresponsiveHosts returns the custodians that have a dispatched request without a
// report for longer than maxReportGap. Each is returned at most once per maxReportGap.
func (in *instance) unresponsiveHosts(now time.Duration) []ident.Host {
	var unresponsive []ident.Host
	for _, entry := range in.running {
		c := in.custodians[entry.host]
		if now-entry.lastReport > maxReportGap && now-c.queriedAt > maxReportGap && !slices.Contains(unresponsive, entry.host) {
			unresponsive = append(unresponsive, entry.host)
		}
	}
	slices.Sort(unresponsive)
	for _, h := range unresponsive {
		c := in.custodians[h]
		c.queriedAt = now
		in.custodians[h] = c
	}
	return unresponsive
}

// missingRequests returns, in order, the dispatched requests of a host that are not in
// its complete list and whose last report is at least grace ago, so that a more recent
// report cannot be in flight.
func (in *instance) missingRequests(now time.Duration, h ident.Host, listed map[runningKey]bool, grace time.Duration) []runningKey {
	var missing []runningKey
	for key, entry := range in.running {
		if entry.host == h && !listed[key] && now-entry.lastReport >= grace {
			missing = append(missing, key)
		}
	}
	slices.SortFunc(missing, func(a, b runningKey) int {
		return cmp.Or(cmp.Compare(a.request, b.request), cmp.Compare(a.attempt, b.attempt))
	})
	return missing
}
