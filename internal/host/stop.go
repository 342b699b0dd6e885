package host

import (
	"context"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/logs"
)

const (
	// balancerDelay is how long a stopping host still takes new callers, while
	// the balancer notices that it isn't ready.
	balancerDelay = 2 * time.Second
	// departDelay is how long the last messages to the other hosts have to go out.
	departDelay = 200 * time.Millisecond
	// dispatchShare is the fraction of the drain grace in which requests are still dispatched. In
	// the rest those that run are to end.
	dispatchShare = 0.5
	// drainPoll is the time between two looks at what a stopping host has left.
	drainPoll = 50 * time.Millisecond
)

// stop ends the service without cutting a request: readiness off, the pools to
// other hosts, what waits and runs to its end, then out of the membership.
func (h *Host) stop() {
	logs.With(h.log, logs.Stopping).Info()
	limit := time.Now().Add(h.settings.DrainGrace)
	h.stopping.Store(true)
	h.entry.Drain()
	h.loop.Post(control.Leave{})
	drain := time.AfterFunc(time.Duration(dispatchShare*float64(h.settings.DrainGrace)), func() {
		h.loop.Post(control.DrainTimedOut{})
	})
	defer drain.Stop()
	time.Sleep(min(balancerDelay, h.settings.DrainGrace))
	shut := make(chan struct{})
	h.group.Go("shutdown", func() {
		defer close(shut)
		_ = h.entry.Shutdown()
	})
	if !h.awaitIdle(limit) {
		h.cut()
	}
	ctx, cancel := context.WithDeadline(context.Background(), limit.Add(balancerDelay))
	defer cancel()
	if err := h.admin.Shutdown(ctx); err != nil {
		logs.With(h.log, logs.AdminShutdown).WithError(err).Warn()
	}
	select {
	case <-shut:
	case <-ctx.Done():
	}
	h.buckets.Finish(ctx)
	h.loop.Post(control.Depart{})
	_ = h.loop.Inspect(ctx, func(*control.Core) {})
	time.Sleep(departDelay)
	h.watcher.Close()
	h.orders.Wait()
	h.runner.Wait()
}

// cut ends what a planned stop has no more time for: what waits is refused as not
// run, and what runs gets the answer that its outcome is unknown.
func (h *Host) cut() {
	logs.With(h.log, logs.CallersCut).Warn()
	h.loop.Post(control.DrainTimedOut{})
	ctx, cancel := context.WithTimeout(context.Background(), balancerDelay)
	defer cancel()
	_ = h.loop.Inspect(ctx, func(*control.Core) {})
	h.runner.Abort()
}

// awaitIdle waits until nothing is in custody, no caller is served and the
// table has every claim's answer. It returns false at the limit.
func (h *Host) awaitIdle(limit time.Time) bool {
	for time.Now().Before(limit) {
		var left int
		ctx, cancel := context.WithDeadline(context.Background(), limit)
		err := h.loop.Inspect(ctx, func(c *control.Core) {
			waiting, dispatched, claims := c.Counts()
			left = waiting + dispatched + claims
		})
		cancel()
		if err == nil && left == 0 && h.entry.Active() == 0 {
			return true
		}
		time.Sleep(drainPoll)
	}
	return false
}
