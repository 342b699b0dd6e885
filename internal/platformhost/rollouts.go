package platformhost

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoilchute/trefoilchute/internal/clock"
	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/rollout"
	"github.com/trefoilchute/trefoilchute/platform"
)

const (
	// rolloutWait is how long a poll of the rows is held open, and rolloutCallTimeout bounds a
	// call beyond that.
	rolloutWait        = 1 * time.Second
	rolloutCallTimeout = 1200 * time.Millisecond
	// rolloutFirstRetry and rolloutMaxRetry bound the wait after a failed call, which doubles.
	rolloutFirstRetry = 100 * time.Millisecond
	rolloutMaxRetry   = 500 * time.Millisecond
	// rolloutIdleRetry is the wait of a host that decides nothing. There are many of them.
	rolloutIdleRetry = 2 * time.Second
	// rolloutTick is the interval at which the pools that this host schedules are looked up
	// while there are orders. A successor learns of an order's state after this and a read.
	rolloutTick = 250 * time.Millisecond
	// rolloutIdleTick is the interval at which they are looked up otherwise.
	rolloutIdleTick = 5 * time.Second
	// rolloutRepeat is the interval at which unchanged statuses are posted again.
	rolloutRepeat = 500 * time.Millisecond
	// followTime is the least time from the order to move all traffic until the old endpoints
	// can count as idle. Grants that were made before expire after 1.5 s.
	followTime = 2 * time.Second
)

// rollouts keeps the roll-outs of the targets whose pools this host schedules. One goroutine
// reads the rows, one writes them, and one posts statuses to the control loop.
type rollouts struct {
	mu   sync.Mutex
	book rolloutBook
	// wake wakes the goroutines that read, write and post, in this order.
	wake [3]chan struct{}
	// followedSince holds, by order, since when traffic has been moved on another region's
	// judgement. Only the goroutine that posts uses it.
	followedSince map[uint64]time.Duration
}

func (r *rollouts) init(self string, region ident.Domain) {
	r.book = newRolloutBook(self, region)
	r.followedSince = map[uint64]time.Duration{}
	for i := range r.wake {
		r.wake[i] = make(chan struct{}, 1)
	}
}

// with calls f with the book and wakes the goroutines.
func (r *rollouts) with(f func(*rolloutBook)) {
	r.mu.Lock()
	f(&r.book)
	r.mu.Unlock()
	r.wakeUp(r.wake[:])
}

// wakeUp wakes goroutines.
func (r *rollouts) wakeUp(list []chan struct{}) {
	for _, c := range list {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// look returns the result of f on the book.
func look[T any](r *rollouts, f func(*rolloutBook) T) T {
	r.mu.Lock()
	defer r.mu.Unlock()
	return f(&r.book)
}

// startRollouts starts keeping roll-outs if the settings enable it.
func (h *Host) startRollouts(ctx context.Context) {
	if !h.settings.Load().Rollout.Enabled() {
		return
	}
	h.group.Go("roll-outs: read", func() { h.readRollouts(ctx) })
	h.group.Go("roll-outs: write", func() { h.writeRollouts(ctx) })
	h.group.Go("roll-outs: post", func() { h.postRollouts(ctx) })
}

// onOrders returns the function that takes the orders read from the store, or nil if roll-outs
// are off.
func (h *Host) onOrders() func([]rollout.Order) {
	if !h.settings.Load().Rollout.Enabled() {
		return nil
	}
	return func(list []rollout.Order) {
		h.rollouts.with(func(b *rolloutBook) { b.setOrders(list) })
	}
}

// rolloutDecided takes a decision of a pool that this host schedules. It never blocks.
func (h *Host) rolloutDecided(v rollout.Verdict) {
	h.rollouts.with(func(b *rolloutBook) { b.decide(v) })
}

// readRollouts reads the rows once at the start, because an order may have been withdrawn while
// no host ran, and keeps them up to date while this host has to decide an order.
func (h *Host) readRollouts(ctx context.Context) {
	var after platform.Position
	wait := rolloutFirstRetry
	for ctx.Err() == nil {
		if look(&h.rollouts, func(b *rolloutBook) bool { return b.readAt > 0 && !b.needsRows() }) {
			after = platform.Position{}
			select {
			case <-ctx.Done():
			case <-h.rollouts.wake[0]:
			}
			continue
		}
		next, err := h.readRolloutRows(ctx, after)
		if after = next; err == nil {
			wait = rolloutFirstRetry
			continue
		}
		sleep(ctx, wait)
		wait = min(2*wait, rolloutMaxRetry)
		if !look(&h.rollouts, (*rolloutBook).needsRows) {
			wait = rolloutIdleRetry
		}
	}
}

// readRolloutRows reads the whole table, or its changes after a position, and returns the position
// after what it has read; the beginning after an error.
func (h *Host) readRolloutRows(ctx context.Context, after platform.Position) (platform.Position, error) {
	asked, whole := clock.Boot(), after.Version == 0
	var page platform.Page
	var err error
	if whole {
		ctx, cancel := context.WithTimeout(ctx, rolloutCallTimeout)
		defer cancel()
		page, err = h.store.ReadTable(ctx, platform.TableRollouts, "")
	} else {
		ctx, cancel := context.WithTimeout(ctx, rolloutWait+rolloutCallTimeout)
		defer cancel()
		page, err = h.store.Feed(ctx, platform.TableRollouts, after, rolloutWait)
	}
	if err != nil {
		var before bool
		h.rollouts.with(func(b *rolloutBook) { before, b.failed = b.failed, true })
		if !before {
			logs.With(h.log, logs.RolloutNotStored).WithError(err).Warn("the rows can't be read")
		}
		return platform.Position{}, err
	}
	if !whole && clock.Boot()-asked >= rolloutWait {
		// The store has held the poll open for this long since it received it.
		asked += rolloutWait
	}
	var changed []platform.Rollout
	var skipped []string
	h.rollouts.with(func(b *rolloutBook) { changed, skipped = b.read(page, asked, whole) })
	for i := range changed {
		h.logRollout(&changed[i])
	}
	for _, target := range skipped {
		logs.With(h.log, logs.RolloutNotStored).WithField("target", target).Warn("the stored row is invalid")
	}
	return page.Position(), nil
}

// logRollout logs a state that was read from the store.
func (h *Host) logRollout(r *platform.Rollout) {
	logs.With(h.log, logs.RolloutStored).WithFields(logrus.Fields{
		"target": r.Order.Target, "version": r.Order.Version, "order": r.Order.ID, "state": r.State.String(), "reason": r.Reason,
		"candidate": r.Samples.Candidate, "candidate_bad": r.Samples.CandidateBad,
		"baseline": r.Samples.Baseline, "baseline_bad": r.Samples.BaselineBad,
	}).Info()
}

// writeRollouts writes the rows that are due.
func (h *Host) writeRollouts(ctx context.Context) {
	wait := rolloutFirstRetry
	for ctx.Err() == nil {
		var write platform.RolloutWrite
		due := look(&h.rollouts, func(b *rolloutBook) (due bool) {
			write, due = b.next(clock.Boot())
			return due
		})
		if !due {
			select {
			case <-ctx.Done():
			case <-h.rollouts.wake[1]:
			}
			continue
		}
		err := h.writeRollout(ctx, write)
		// Whatever became of the write, the rows tell. Only after an answer is the next one due.
		_, readErr := h.readRolloutRows(ctx, platform.Position{})
		if err == nil && readErr == nil {
			wait = rolloutFirstRetry
			continue
		}
		sleep(ctx, wait)
		wait = min(2*wait, rolloutMaxRetry)
	}
}

// writeRollout writes a row once.
func (h *Host) writeRollout(ctx context.Context, w platform.RolloutWrite) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutCallTimeout)
	defer cancel()
	err := h.store.PutRollout(ctx, w)
	if err != nil {
		logs.With(h.log, logs.RolloutNotStored).WithFields(logrus.Fields{
			"target": w.Order.Target, "version": w.Order.Version, "order": w.Order.ID, "state": w.State.String(),
		}).WithError(err).Warn()
	}
	return err
}

// postRollouts posts the statuses of the orders to the control loop when they have changed, and
// repeatedly while there are any.
func (h *Host) postRollouts(ctx context.Context) {
	var posted []rollout.Status
	var postedAt time.Duration
	for ctx.Err() == nil {
		active := look(&h.rollouts, (*rolloutBook).active)
		if active {
			h.updateScheduled(ctx)
		}
		now := clock.Boot()
		statuses := look(&h.rollouts, func(b *rolloutBook) []rollout.Status { return b.statuses(now) })
		changed := !sameStatuses(statuses, posted)
		// Before, the control loop does not run and its mailbox might fill up.
		if h.connected.Load() && (changed || active && now-postedAt >= rolloutRepeat) {
			h.loop.Post(control.RolloutsChanged{Statuses: statuses, Bounds: h.settings.Load().Rollout})
			posted, postedAt = statuses, now
		}
		wait := rolloutTick
		if !active {
			// Decisions cease to have an effect some time later.
			wait = rolloutIdleTick
		}
		select {
		case <-ctx.Done():
		case <-h.rollouts.wake[2]:
		case <-time.After(wait):
		}
	}
}

// sameStatuses reports whether two lists differ in the times alone.
func sameStatuses(a, b []rollout.Status) bool {
	return slices.EqualFunc(a, b, func(x, y rollout.Status) bool {
		x.Elapsed, y.Elapsed = 0, 0
		return x == y
	})
}

// updateScheduled looks up which pools this host schedules, and wakes the goroutines that read
// and write the rows.
func (h *Host) updateScheduled(ctx context.Context) {
	if !h.connected.Load() {
		return
	}
	r := &h.rollouts
	targets, following := look(r, (*rolloutBook).targets), look(r, (*rolloutBook).following)
	region := h.settings.Load().Region
	scheduled := map[string]bool{}
	var pools []control.PoolStatus
	bounded, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	err := h.loop.Inspect(bounded, func(c *control.Core) {
		for _, target := range targets {
			scheduled[target] = c.Schedules(ident.Pool{Target: target, Domain: region})
		}
		if len(following) > 0 {
			pools = c.Pools()
		}
	})
	if err != nil {
		return
	}
	now := clock.Boot()
	moved := h.movedOrders(now, following, pools)
	r.mu.Lock()
	r.book.setScheduled(now, scheduled)
	for _, o := range moved {
		r.book.decide(rollout.Verdict{Order: o, State: rollout.Completed})
	}
	r.mu.Unlock()
	r.wakeUp(r.wake[:2])
}

// movedOrders returns those of the orders that another region's scheduler has judged good whose
// old endpoints have become idle here.
func (h *Host) movedOrders(now time.Duration, following []rollout.Order, pools []control.PoolStatus) []rollout.Order {
	since := h.rollouts.followedSince
	h.rollouts.followedSince = map[uint64]time.Duration{}
	var moved []rollout.Order
	for _, o := range following {
		at, known := since[o.ID]
		if !known {
			at = now
		}
		h.rollouts.followedSince[o.ID] = at
		if now-at >= followTime && !h.baselineBusy(o, pools) {
			moved = append(moved, o)
		}
	}
	return moved
}

// baselineBusy reports whether an old endpoint may be running requests of this region.
func (h *Host) baselineBusy(o rollout.Order, pools []control.PoolStatus) bool {
	h.view.mu.Lock()
	old := map[ident.Endpoint]bool{}
	for _, e := range h.view.endpoints {
		old[e.Name] = e.Target == o.Target && e.Version != o.Version
	}
	h.view.mu.Unlock()
	for _, p := range pools {
		if p.Pool.Target != o.Target || p.Detail == nil {
			continue
		}
		return slices.ContainsFunc(p.Detail.Endpoints, func(e pool.EndpointStatus) bool { return old[e.Name] && e.InFlight > 0 })
	}
	return true
}

// sleep waits for a duration or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
