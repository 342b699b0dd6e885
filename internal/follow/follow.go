// Package follow keeps a host's copy of what operators and endpoints keep in the
// platform's store up to date: the configuration by long polls, the endpoints by
// reads at a bounded rhythm, since their reports change rows all the time.
package follow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/trefoilchute/trefoilchute/internal/clock"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/ruleset"
	"github.com/trefoilchute/trefoilchute/platform"
)

const (
	// configurationWait is how long one poll of the configuration is held open. An
	// unchanged configuration is confirmed once in this time, which has to leave
	// room for a failed poll within the life of keys.
	configurationWait = 1500 * time.Millisecond
	// endpointInterval is the time between two reads of the endpoints: an endpoint
	// that leaves gets no requests after 2 s, messages and a slow store included.
	endpointInterval = 700 * time.Millisecond
	// wholeEvery is the number of reads of the endpoints after which the whole
	// table is read and compared, in case a change was missed.
	wholeEvery = 30
	// callTimeout bounds one call beyond the time that it waits.
	callTimeout = 1200 * time.Millisecond
	// firstRetry and lastRetry bound the wait after a failed call, which doubles.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 500 * time.Millisecond
)

// Options configures a Follower. The functions are called from the follower's
// goroutines.
type Options struct {
	Store *platform.Store
	Log   logrus.FieldLogger
	// Rules is told of each newer configuration.
	Rules func(*ruleset.Ruleset)
	// Endpoints is told of each change of the endpoints.
	Endpoints func([]platform.Endpoint)
}

// Follower follows the store.
type Follower struct {
	opts Options
	// confirmed is when the configuration in force was last known to be the newest,
	// on the clock of package clock, in nanoseconds; 0: never.
	confirmed atomic.Int64
	// endpointsAt is when the endpoints were last read, likewise.
	endpointsAt atomic.Int64
}

// New returns a follower that doesn't run yet.
func New(opts Options) *Follower {
	return &Follower{opts: opts}
}

// ConfigurationAge returns the time since the configuration in force was last
// known to be the newest one; false if it never was.
func (f *Follower) ConfigurationAge() (time.Duration, bool) {
	return age(&f.confirmed)
}

// EndpointsAge returns the time since the endpoints were last read; false if they
// never were.
func (f *Follower) EndpointsAge() (time.Duration, bool) {
	return age(&f.endpointsAt)
}

// age returns the time since a mark.
func age(mark *atomic.Int64) (time.Duration, bool) {
	at := mark.Load()
	if at == 0 {
		return 0, false
	}
	return clock.Boot() - time.Duration(at), true
}

// dependency logs when a part of the store is lost and regained.
type dependency struct {
	log  logrus.FieldLogger
	name string
	lost bool
	// since is when the first failure came.
	since time.Duration
	wait  time.Duration
}

// failed notes a failed call and returns how long to wait before the next.
func (d *dependency) failed(err error) time.Duration {
	if !d.lost {
		d.lost, d.since, d.wait = true, clock.Boot(), firstRetry
		logs.With(d.log, logs.DependencyLost).WithField("dependency", d.name).WithError(err).Warn()
	}
	wait := d.wait
	d.wait = min(2*d.wait, lastRetry)
	return wait
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

// FollowRules follows the configuration until ctx ends.
func (f *Follower) FollowRules(ctx context.Context) {
	dep := dependency{log: f.opts.Log, name: "configuration"}
	var current *ruleset.Ruleset
	var after uint64
	for ctx.Err() == nil {
		asked := clock.Boot()
		page, err := f.readRules(ctx, after)
		if errors.Is(err, platform.ErrHistoryGone) {
			after = 0
			continue
		}
		if err != nil {
			after = 0
			sleep(ctx, dep.failed(err))
			continue
		}
		dep.worked()
		after = page.Version
		next, err := platform.Configuration(page.Rows)
		if err != nil {
			// The last one stays in force; what can't be read is not confirmed.
			logs.With(f.opts.Log, logs.ConfigurationRejected).WithError(err).Error()
			continue
		}
		if next != nil && (current == nil || next.Version > current.Version) {
			current = next
			f.opts.Rules(next)
		}
		if current != nil {
			f.confirmed.Store(int64(asked))
		}
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

// FollowEndpoints follows the endpoints until ctx ends.
func (f *Follower) FollowEndpoints(ctx context.Context) {
	dep := dependency{log: f.opts.Log, name: "endpoints"}
	table := NewEndpoints()
	var after uint64
	for n := 1; ctx.Err() == nil; n++ {
		whole := after == 0 || n%wholeEvery == 0
		page, err := f.readEndpoints(ctx, after, whole)
		if errors.Is(err, platform.ErrHistoryGone) {
			after = 0
			continue
		}
		if err != nil {
			after = 0
			sleep(ctx, dep.failed(err))
			continue
		}
		dep.worked()
		after = page.Version
		now := clock.Boot()
		changed, skipped := table.Read(now, page.Rows, whole)
		for _, s := range skipped {
			logs.With(f.opts.Log, logs.EndpointSkipped).WithField("endpoint", s.Row).WithError(s.Err).Warn()
		}
		if changed || f.endpointsAt.Load() == 0 {
			f.opts.Endpoints(table.List())
		}
		f.endpointsAt.Store(int64(now))
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
