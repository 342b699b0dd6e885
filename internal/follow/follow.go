// Package follow keeps a host's copy of what operators and endpoints keep in the
// platform's store up to date. A few hosts read the store: the configuration by long
// polls, the endpoints at a bounded rhythm, since their reports change rows all the
// time. The others ask them, and read for themselves when what they know grows old.
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
	"github.com/trefoilchute/trefoilchute/internal/ruleset"
	"github.com/trefoilchute/trefoilchute/platform"
)

const (
	// configurationWait is how long one poll of the configuration is held open. An
	// unchanged configuration is confirmed once in this time, which has to leave
	// room for a failed poll within the life of keys.
	configurationWait = 600 * time.Millisecond
	// endpointInterval is the time between two reads of the endpoints: an endpoint
	// that leaves gets no requests after 2 s, messages and a slow store included.
	endpointInterval = 600 * time.Millisecond
	// wholeEvery is the number of reads of the endpoints after which the whole
	// table is read and compared, in case a change was missed.
	wholeEvery = 30
	// callTimeout bounds one call beyond the time that it waits.
	callTimeout = 1200 * time.Millisecond
	// firstRetry and lastRetry bound the wait after a failed call, which doubles. A host
	// that reads for nobody else waits up to lastOwnRetry: others tell it as soon as one
	// of them reaches the store.
	firstRetry   = 100 * time.Millisecond
	lastRetry    = 500 * time.Millisecond
	lastOwnRetry = 2 * time.Second
	// retryJitter is the part by which waits differ, so that hosts that lost the store at
	// one moment don't come back to it at one.
	retryJitter = 0.3
	// restLimit bounds the sleep of a host that has no need to read.
	restLimit = 500 * time.Millisecond
)

// SourceStore names the store as the source of a configuration.
const SourceStore = "store"

// Options configures a Follower. The functions are called from the follower's
// goroutines and those of the links.
type Options struct {
	Self  ident.Host
	Store *platform.Store
	Log   logrus.FieldLogger
	// Readers returns the hosts that read the store for the others.
	Readers func() []ident.Host
	// Hosts returns all hosts that live, as far as is known.
	Hosts func() []ident.Host
	// Send queues a message for another host.
	Send func(ident.Host, *peerpb.Envelope) bool
	// OnRuleset is told of each newer configuration and of whom it came from.
	OnRuleset func(r *ruleset.Ruleset, source string)
	// OnEndpoints is told of each change of the endpoints.
	OnEndpoints func([]platform.Endpoint)
}

// Follower follows the store.
type Follower struct {
	opts  Options
	state state
	// reading says that this host reads the store for others.
	reading atomic.Bool
	// woken wakes the loops that read the store.
	woken [2]chan struct{}

	askMu sync.Mutex
	seq   uint64
	asked ask
	turn  int
	// misses counts the questions in a row that no reader had a fresh answer to, and
	// helper is another host that has had one since; empty: none.
	misses int
	helper ident.Host
}

// New returns a follower that doesn't run yet.
func New(opts Options) *Follower {
	f := &Follower{opts: opts, turn: len(opts.Self)}
	f.reading.Store(true)
	for i := range f.woken {
		f.woken[i] = make(chan struct{}, 1)
	}
	return f
}

// ConfigurationAge returns the time since the configuration in force was last
// known to be the newest one; false if it never was.
func (f *Follower) ConfigurationAge() (time.Duration, bool) {
	age, _ := f.state.ages(clock.Boot())
	return age, age != never
}

// EndpointsAge returns the time since the endpoints were last read; false if they
// never were.
func (f *Follower) EndpointsAge() (time.Duration, bool) {
	_, age := f.state.ages(clock.Boot())
	return age, age != never
}

// fresh reports whether what is known is young enough.
func (f *Follower) fresh() bool {
	rules, endpoints := f.state.ages(clock.Boot())
	return rules != never && rules < freshAge && endpoints != never && endpoints < freshAge
}

// needsStore reports whether this host has to read the store itself.
func (f *Follower) needsStore() bool {
	return f.reading.Load() || !f.fresh()
}

// wake lets the loops that read the store look whether they have to.
func (f *Follower) wake() {
	for _, c := range f.woken {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// rest waits while this host has no need to read the store. It reports whether it
// had to wait: what was read before has gaps then.
func (f *Follower) rest(ctx context.Context, woken <-chan struct{}) bool {
	rested := false
	for ctx.Err() == nil && !f.needsStore() {
		rested = true
		select {
		case <-ctx.Done():
		case <-woken:
		case <-time.After(restLimit):
		}
	}
	return rested
}

// dependency logs when a part of the store is lost and regained.
type dependency struct {
	log  logrus.FieldLogger
	name string
	lost bool
	// since is when the first failure came.
	since time.Duration
	wait  time.Duration
	// reading reports whether this host reads the store for others.
	reading func() bool
}

// settled notes the end of a call and, after a failure, waits until the next is due.
// It returns false if the table is to be read whole.
func (d *dependency) settled(ctx context.Context, err error) bool {
	if err == nil {
		d.worked()
		return true
	}
	if !errors.Is(err, platform.ErrHistoryGone) {
		sleep(ctx, d.failed(err))
	}
	return false
}

// failed notes a failed call and returns how long to wait before the next.
func (d *dependency) failed(err error) time.Duration {
	if !d.lost {
		d.lost, d.since, d.wait = true, clock.Boot(), firstRetry
		logs.With(d.log, logs.DependencyLost).WithField("dependency", d.name).WithError(err).Warn()
	}
	last := lastOwnRetry
	if d.reading() {
		last = lastRetry
	}
	wait := min(d.wait, last)
	d.wait = min(2*wait, last)
	return time.Duration(float64(wait) * (1 + retryJitter*(rand.Float64()-0.5)))
}

// worked notes a call that succeeded.
func (d *dependency) worked() {
	if d.lost {
		logs.With(d.log, logs.DependencyRegained).WithFields(logrus.Fields{
			"dependency": d.name, "after_ms": (clock.Boot() - d.since).Milliseconds(),
		}).Info()
	}
	d.lost = false
}

// FollowConfiguration reads the configuration until ctx ends, while this host has to.
func (f *Follower) FollowConfiguration(ctx context.Context) {
	dep := dependency{log: f.opts.Log, name: "configuration", reading: f.reading.Load}
	var after uint64
	for ctx.Err() == nil {
		if f.rest(ctx, f.woken[0]) {
			after = 0
		}
		asked := clock.Boot()
		page, err := f.readRules(ctx, after)
		if !dep.settled(ctx, err) {
			after = 0
			continue
		}
		if waited := after > 0 && clock.Boot()-asked >= configurationWait; waited {
			// The store held the poll for that time since it came.
			asked += configurationWait
		}
		after = page.Version
		f.readConfiguration(page, asked)
	}
}

// readConfiguration takes what was read of the operators' table.
func (f *Follower) readConfiguration(page platform.Page, asked time.Duration) {
	next, err := platform.Configuration(page.Rows)
	switch {
	case err != nil:
		// The last one stays in force; what can't be read is not confirmed.
		logs.With(f.opts.Log, logs.ConfigurationRejected).WithError(err).Error()
	case next != nil:
		if f.state.adoptRules(next, asked) {
			f.opts.OnRuleset(next, SourceStore)
		}
	default:
		// No row has changed since the last read of this loop.
		f.state.mu.Lock()
		if f.state.rules != nil {
			f.state.confirmed = max(f.state.confirmed, asked)
		}
		f.state.mu.Unlock()
	}
}

// readRules reads the operators' table: whole, or what changes after a version.
func (f *Follower) readRules(ctx context.Context, after uint64) (platform.Page, error) {
	if after == 0 {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return f.opts.Store.ReadTable(ctx, platform.TableOperator, "")
	}
	ctx, cancel := context.WithTimeout(ctx, configurationWait+callTimeout)
	defer cancel()
	return f.opts.Store.Feed(ctx, platform.TableOperator, after, configurationWait)
}

// FollowEndpoints reads the endpoints until ctx ends, while this host has to.
func (f *Follower) FollowEndpoints(ctx context.Context) {
	dep := dependency{log: f.opts.Log, name: "endpoints", reading: f.reading.Load}
	table := NewEndpoints()
	var after uint64
	for n := 1; ctx.Err() == nil; n++ {
		if f.rest(ctx, f.woken[1]) {
			after = 0
		}
		whole := after == 0 || n%wholeEvery == 0
		if after == 0 {
			table.ResetTo(f.state.known())
		}
		asked := clock.Boot()
		page, err := f.readEndpoints(ctx, after, whole)
		if !dep.settled(ctx, err) {
			after = 0
			continue
		}
		after = page.Version
		_, skipped := table.Update(clock.Boot(), page.Rows, whole)
		for _, s := range skipped {
			logs.With(f.opts.Log, logs.EndpointSkipped).WithField("endpoint", s.Row).WithError(s.Err).Warn()
		}
		list, adopted := table.List(), false
		if table.Pending() {
			adopted = f.state.adoptUnsure(list, asked)
		} else {
			adopted = f.state.adoptEndpoints(list, asked)
		}
		if adopted {
			f.opts.OnEndpoints(list)
		}
		sleep(ctx, endpointInterval)
	}
}

// readEndpoints reads the endpoints' table: whole, or what changed after a version.
func (f *Follower) readEndpoints(ctx context.Context, after uint64, whole bool) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if whole {
		return f.opts.Store.ReadTable(ctx, platform.TableEndpoints, "")
	}
	return f.opts.Store.Feed(ctx, platform.TableEndpoints, after, 0)
}

// sleep waits for a time or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
