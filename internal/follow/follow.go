// Package follow keeps a host's copy of the operators' configuration and of the endpoints,
// which are stored in the platform's store, up to date. A few hosts read the store: the
// configuration by long polling, the endpoints at fixed intervals, because the endpoints'
// reports change rows all the time. The other hosts ask the readers, and read the store
// themselves when their own copy becomes too old.
package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/trefoilchute/trefoilchute/internal/clock"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/rollout"
	"github.com/trefoilchute/trefoilchute/internal/ruleset"
	"github.com/trefoilchute/trefoilchute/platform"
)

const (
	// configurationWait is how long a poll of the configuration is held open. An unchanged
	// configuration is confirmed once in this time, which has to leave room for a failed poll
	// within the lifetime of API keys.
	configurationWait = 600 * time.Millisecond
	// endpointInterval is the time between two reads of the endpoints. An endpoint that
	// leaves must get no requests after 2 s, including messages and a slow store.
	endpointInterval = 600 * time.Millisecond
	// fullReadEvery is the number of reads of the endpoints after which the whole table is
	// read, in case a change was missed.
	fullReadEvery = 30
	// callTimeout bounds a call, in addition to the time for which the store holds it open.
	callTimeout = 1200 * time.Millisecond
	// firstRetry and maxReaderRetry bound the wait after a failed call, which doubles. A host
	// that does not read for others waits up to maxOwnRetry, because others tell it as soon as
	// one of them reaches the store.
	firstRetry     = 100 * time.Millisecond
	maxReaderRetry = 500 * time.Millisecond
	maxOwnRetry    = 2 * time.Second
	// retryJitter is the fraction by which waits vary, so that hosts that lost the store at the
	// same time do not all retry at the same time.
	retryJitter = 0.3
	// maxPause bounds the sleep of a host that does not need to read the store.
	maxPause = 500 * time.Millisecond
	// manyHosts is the number of hosts from which on a starting host leaves the first read to the
	// readers. A table of thousands of endpoints has several pages, and with hundreds of hosts
	// that read them at the same time the store turns most calls away.
	manyHosts = 32
	// firstReadGrace is how long it does so. The readers need some ten milliseconds, and each answer
	// is up to hundreds of kilobytes on the reader's link. startTimeout bounds the wait for the
	// list of hosts.
	firstReadGrace = 2 * time.Second
	startTimeout   = 600 * time.Millisecond
)

// SourceStore names the store as the source of a configuration.
const SourceStore = "store"

// Options configures a Follower. The functions are called from the follower's goroutines and
// from those of the peer links.
type Options struct {
	Self  ident.Host
	Store *platform.Store
	Log   logrus.FieldLogger
	// Readers returns the hosts that read the store for the others.
	Readers func() []ident.Host
	// Hosts returns all hosts that are known to be alive.
	Hosts func() []ident.Host
	// Others returns all other hosts, or nil if one is dead or they aren't known. If it is nil itself,
	// they aren't asked after the store has come back from an older copy.
	Others func() []ident.Host
	// Send queues a message to another host.
	Send func(ident.Host, *peerpb.Envelope) bool
	// OnRuleset is called with each newer configuration and its source.
	OnRuleset func(r *ruleset.Ruleset, source string)
	// OnEndpoints is called with the endpoints when they have changed.
	OnEndpoints func([]platform.Endpoint)
	// KeyLife returns how long keys are accepted without a confirmation of the configuration.
	KeyLife func() time.Duration
	// OnEra, if set, is called with the era of the store that another host tells.
	OnEra func(platform.Era)
	// OnOrders is called with the roll-out orders when they have changed, and once when they
	// have first been read. If it is nil, orders and the versions of endpoints are ignored.
	OnOrders func([]rollout.Order)
}

// Follower follows the contents of the store.
type Follower struct {
	opts       Options
	state      state
	compressed compressed
	census     census
	// startTime is the time of New on the clock of package clock.
	startTime time.Duration
	// reading is set if this host reads the store for others.
	reading atomic.Bool
	// started is closed when the number of hosts is known, and graceEnd is the time on the clock
	// of package clock until which this host waits for the readers after its start.
	started  chan struct{}
	graceEnd atomic.Int64
	// first is set if the hosts start for the first time.
	first atomic.Bool
	// opensAt is the time on the clock of package clock at which this host settles the store's era if
	// nobody else does before, and unknowing the last time that another host answered that it doesn't
	// know the newest configuration either; 0 if there is none. alone is set if there are no others.
	opensAt, unknowing atomic.Int64
	alone              atomic.Bool
	// wakeups wakes the loops that read the store.
	wakeups [2]chan struct{}

	// rulesetMu, endpointsMu and ordersMu serialize the calls of OnRuleset, OnEndpoints and OnOrders
	// together with what they are told, so that nothing older comes into force after it.
	rulesetMu, endpointsMu, ordersMu sync.Mutex

	queryMu     sync.Mutex
	seq         uint64
	outstanding query
	nextReader  int
	// misses counts the consecutive queries that no reader had a fresh answer to, and helper
	// is another host that has answered one since; empty if there is none.
	misses int
	helper ident.Host
	// untried are the hosts that have not been queried in the current round over all hosts.
	untried []ident.Host
}

// New returns a follower that is not running yet.
func New(opts Options) *Follower {
	f := &Follower{opts: opts, nextReader: len(opts.Self), started: make(chan struct{}), startTime: clock.Boot()}
	f.reading.Store(true)
	for i := range f.wakeups {
		f.wakeups[i] = make(chan struct{}, 1)
	}
	return f
}

// ConfigurationAge returns the time since the configuration in force was last confirmed to be
// the newest, or false if it never was.
func (f *Follower) ConfigurationAge() (time.Duration, bool) {
	age, _ := f.state.ages(clock.Boot())
	return age, age != never
}

// EndpointsAge returns the time since the endpoints were last read, or false if they never
// were.
func (f *Follower) EndpointsAge() (time.Duration, bool) {
	_, age := f.state.ages(clock.Boot())
	return age, age != never
}

// fresh reports whether the host's copy is recent enough.
func (f *Follower) fresh() bool {
	rules, endpoints := f.state.ages(clock.Boot())
	return rules != never && rules < freshAge && endpoints != never && endpoints < freshAge
}

// needsStore reports whether this host has to read the store itself.
func (f *Follower) needsStore() bool {
	return f.reading.Load() || !f.fresh() && clock.Boot() >= time.Duration(f.graceEnd.Load())
}

// Enlisted tells whether the hosts start for the first time: the store had neither a row of this host nor
// the hosts' shared state.
func (f *Follower) Enlisted(first bool) {
	f.first.Store(first)
}

// Start tells how many hosts there are, when the list of hosts has been read for the first time. It
// must be called once at most.
func (f *Follower) Start(hosts int) {
	f.alone.Store(hosts == 1)
	if hosts >= manyHosts {
		grace := time.Duration(float64(firstReadGrace) * (1 + retryJitter*rand.Float64()))
		if f.first.Load() && f.opts.Store.Era().Named {
			// The readers are linked with the others, and settle the era, only after this.
			grace += 2 * NoticeTime
		}
		f.graceEnd.Store(int64(clock.Boot() + grace))
		f.reading.Store(false)
	}
	close(f.started)
}

// awaitStart waits for Start, or for startTimeout if the list of hosts can't be read.
func (f *Follower) awaitStart(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.started:
	case <-time.After(startTimeout):
	}
}

// wake makes the loops that read the store check whether they have to.
func (f *Follower) wake() {
	for _, c := range f.wakeups {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// pause waits while this host does not need to read the store. It reports whether it had to
// wait; if so, the loop may have missed changes.
func (f *Follower) pause(ctx context.Context, woken <-chan struct{}) bool {
	rested := false
	for ctx.Err() == nil && !f.needsStore() {
		rested = true
		select {
		case <-ctx.Done():
		case <-woken:
		case <-time.After(maxPause):
		}
	}
	return rested
}

// dependency tracks the availability of a part of the store and logs when it changes.
type dependency struct {
	log  logrus.FieldLogger
	name string
	lost bool
	// since is the time of the first failure.
	since time.Duration
	wait  time.Duration
	// reading reports whether this host reads the store for others.
	reading func() bool
}

// afterCall records the result of a call and, after a failure, waits until the next call is
// due. It returns false if the whole table has to be read again.
func (d *dependency) afterCall(ctx context.Context, err error) bool {
	if err == nil {
		d.succeeded()
		return true
	}
	if !errors.Is(err, platform.ErrHistoryGone) {
		sleep(ctx, d.failed(err))
	}
	return false
}

// failed records a failed call and returns the time to wait before the next.
func (d *dependency) failed(err error) time.Duration {
	if !d.lost {
		d.lost, d.since, d.wait = true, clock.Boot(), firstRetry
		logs.With(d.log, logs.DependencyLost).WithField("dependency", d.name).WithError(err).Warn()
	}
	last := maxOwnRetry
	if d.reading() {
		last = maxReaderRetry
	}
	wait := min(d.wait, last)
	d.wait = min(2*wait, last)
	return time.Duration(float64(wait) * (1 + retryJitter*(rand.Float64()-0.5)))
}

// succeeded records a successful call.
func (d *dependency) succeeded() {
	if d.lost {
		logs.With(d.log, logs.DependencyRegained).WithFields(logrus.Fields{
			"dependency": d.name, "after_ms": (clock.Boot() - d.since).Milliseconds(),
		}).Info()
	}
	d.lost = false
}

// FollowConfiguration reads the configuration until ctx ends, whenever this host has to.
func (f *Follower) FollowConfiguration(ctx context.Context) {
	f.awaitStart(ctx)
	dep := dependency{log: f.opts.Log, name: "configuration", reading: f.reading.Load}
	var after platform.Position
	var table orders
	var stored storedConfiguration
	held := configurationWait
	for ctx.Err() == nil {
		if f.pause(ctx, f.wakeups[0]) {
			after = platform.Position{}
		}
		whole := after.Version == 0
		asked := clock.Boot()
		page, err := f.readConfiguration(ctx, after, held)
		if !dep.afterCall(ctx, err) {
			after = platform.Position{}
			continue
		}
		if waited := !whole && clock.Boot()-asked >= held; waited {
			// The store has held the poll open for this long since it received it.
			asked += held
		}
		f.applyOrders(&table, page, asked, whole)
		if held = configurationWait; !f.applyConfiguration(ctx, &stored, page, asked, whole) {
			held = unsettledWait
		}
		after = page.Position()
	}
}

// storedConfiguration is what a loop knows of the configuration's row in the store.
type storedConfiguration struct {
	// version is the row's version as of the last read. If valid isn't set, the row is missing or
	// can't be decoded, so no version can be confirmed to be the newest.
	version uint64
	valid   bool
	guard   eraGuard
}

// applyConfiguration applies rows read from the operators' table: the whole table if whole is set,
// otherwise only changes. A read confirms the version in force only if the store holds that one, and if
// the store can't have lost a newer one. It reports whether the store's era is settled.
func (f *Follower) applyConfiguration(
	ctx context.Context, stored *storedConfiguration, page platform.Page, asked time.Duration, whole bool,
) bool {
	if whole {
		stored.valid = false
	}
	next, err := platform.Configuration(page.Rows)
	if err != nil {
		stored.valid = false
		logs.With(f.opts.Log, logs.ConfigurationRejected).WithError(err).Error()
	}
	if next != nil {
		if err == nil {
			stored.version, stored.valid = next.Version, true
		}
		f.adoptRuleset(next, unconfirmed, SourceStore)
	}
	f.state.noteEra(page.Era)
	settled := f.settleEra(ctx, stored, page, whole)
	if stored.valid && stored.guard.confirms(stored.version) {
		f.state.confirm(stored.version, asked)
	}
	return settled
}

// settleEra finds out what the hosts knew of the configuration before the store's era, and tells it. It
// reports whether the era is settled.
func (f *Follower) settleEra(ctx context.Context, stored *storedConfiguration, page platform.Page, whole bool) bool {
	g := &stored.guard
	g.keyLife, g.first = f.opts.KeyLife(), f.first.Load()
	g.enter(page.Era, clock.Boot())
	if !page.Era.Named {
		return true
	}
	before := g.settled
	if row, changed := platform.ConfigurationRow(page.Rows); changed || whole {
		version := stored.version
		if !stored.valid {
			version = 0
		}
		g.observe(row, version)
	}
	by := byOperator
	if g.needsMark(clock.Boot()) {
		by = f.readMark(ctx, g, stored.version)
	}
	f.opensAt.Store(int64(g.opensAt(f.state.knowledge(clock.Boot()))))
	if g.settled && !before {
		logs.With(f.opts.Log, logs.StoreEraSettled).WithFields(logrus.Fields{
			"era": g.era.String(), "by": by, "newest": g.floor, "stored": stored.version, "after_ms": (clock.Boot() - g.since).Milliseconds(),
		}).Info()
	}
	return g.settled
}

// readMark reads the mark of the store's era, and writes it if that is due. It returns what settles the
// era if it is settled then.
func (f *Follower) readMark(ctx context.Context, g *eraGuard, stored uint64) settler {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	by := byMark
	if g.rewritten {
		by = byOperator
	}
	m, era, err := f.opts.Store.EraMark(ctx)
	if err == nil && era != g.era {
		err = errors.Errorf("read in era %s, not %s", era, g.era)
	}
	if err != nil {
		logs.With(f.opts.Log, logs.StoreEraOpen).WithField("era", g.era.String()).WithError(err).Warn("the mark can't be read")
		return by
	}
	g.learn(m)
	now := clock.Boot()
	known := f.state.knowledge(now)
	next, due := g.due(now, known, stored, m)
	if !due && !g.settled && f.agreed(g.era) {
		known = f.state.knowledge(now)
		next, due = g.next(known, stored, m), true
	}
	if !due {
		return by
	}
	err = f.opts.Store.PutEraMark(ctx, next)
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		logs.With(f.opts.Log, logs.StoreEraOpen).WithField("era", g.era.String()).WithError(err).Warn("the mark can't be written")
	}
	if err != nil {
		return by
	}
	g.marked(next)
	switch {
	case g.rewritten:
	case known.age == never:
		by = byTime
	default:
		by = byKnowledge
	}
	return by
}

// UntilConfirmed returns the time after which this host confirms the configuration that the store holds
// if nobody tells it a newer one before; 0 if that isn't known, or if other hosts may know now.
func (f *Follower) UntilConfirmed() time.Duration {
	now := clock.Boot()
	recent := now-time.Duration(f.unknowing.Load()) < 2*queryInterval
	if !f.alone.Load() && !recent {
		return 0
	}
	return max(0, time.Duration(f.opensAt.Load())-now)
}

// adoptRuleset takes over a ruleset that was the newest at a given time, or unconfirmed, and brings it
// into force if it is newer. It counts as confirmed only then, because the one before isn't.
func (f *Follower) adoptRuleset(r *ruleset.Ruleset, at time.Duration, source string) {
	f.rulesetMu.Lock()
	defer f.rulesetMu.Unlock()
	if f.state.adoptRuleset(r, unconfirmed) {
		f.opts.OnRuleset(r, source)
	}
	f.state.confirm(r.Version, at)
}

// adoptEndpoints takes over the endpoints as of a given time.
func (f *Follower) adoptEndpoints(list []platform.Endpoint, at time.Duration) {
	f.endpointsMu.Lock()
	defer f.endpointsMu.Unlock()
	if f.state.adoptEndpoints(list, at) {
		f.opts.OnEndpoints(list)
	}
}

// adoptUncertain takes over endpoints of which some may be gone.
func (f *Follower) adoptUncertain(list []platform.Endpoint, now time.Duration) {
	f.endpointsMu.Lock()
	defer f.endpointsMu.Unlock()
	if f.state.adoptUncertain(list, now) {
		f.opts.OnEndpoints(list)
	}
}

// readConfiguration reads the operators' table: the whole, or the changes after a position, for which
// it waits up to a time.
func (f *Follower) readConfiguration(ctx context.Context, after platform.Position, wait time.Duration) (platform.Page, error) {
	if after.Version == 0 {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return f.opts.Store.ReadTable(ctx, platform.TableOperator, "")
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	return f.opts.Store.Feed(ctx, platform.TableOperator, after, wait)
}

// FollowEndpoints reads the endpoints until ctx ends, whenever this host has to.
func (f *Follower) FollowEndpoints(ctx context.Context) {
	f.awaitStart(ctx)
	dep := dependency{log: f.opts.Log, name: "endpoints", reading: f.reading.Load}
	table := NewEndpoints()
	table.withVersions = f.opts.OnOrders != nil
	var after platform.Position
	for n := 1; ctx.Err() == nil; n++ {
		if f.pause(ctx, f.wakeups[1]) {
			after = platform.Position{}
		}
		whole := after.Version == 0 || n%fullReadEvery == 0
		if after.Version == 0 {
			table.ResetTo(f.state.known())
		}
		asked := clock.Boot()
		page, err := f.readEndpoints(ctx, after, whole)
		if !dep.afterCall(ctx, err) {
			after = platform.Position{}
			continue
		}
		after = page.Position()
		table.EnterEra(clock.Boot(), page.Era)
		_, skipped := table.Update(clock.Boot(), page.Rows, whole)
		for _, s := range skipped {
			logs.With(f.opts.Log, logs.EndpointSkipped).WithField("endpoint", s.Row).WithError(s.Err).Warn()
		}
		if list := table.List(); table.Pending() {
			f.adoptUncertain(list, asked)
		} else {
			f.adoptEndpoints(list, asked)
		}
		sleep(ctx, endpointInterval)
	}
}

// readEndpoints reads the endpoints' table: the whole, or the changes after a position.
func (f *Follower) readEndpoints(ctx context.Context, after platform.Position, whole bool) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if whole {
		return f.opts.Store.ReadTable(ctx, platform.TableEndpoints, "")
	}
	return f.opts.Store.Feed(ctx, platform.TableEndpoints, after, 0)
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
