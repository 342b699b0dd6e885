package platformhost

import (
	"context"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/logs"
)

const (
	// balancerDelay is how long a stopping host still takes new callers: the
	// balancer asks once a second and takes a host out after two misses.
	balancerDelay = 2500 * time.Millisecond
	// departDelay is how long the last messages to the other hosts have to go out.
	departDelay = 50 * time.Millisecond
	// endMargin is left of the time to stop for the end of the process.
	endMargin = 300 * time.Millisecond
)

// stop ends the service without cutting a request: readiness off, the pools to
// other hosts, what waits and runs to its end, then out of the membership.
func (h *Host) stop() {
	now := time.Now()
	logs.With(h.log, logs.Stopping).WithField("active", h.gateway.Active()).Info()
	h.gateway.Stop(now)
	if !h.linked.Load() {
		return
	}
	h.loop.Post(control.Leave{})
	limit, cancelLimit := context.WithDeadline(context.Background(), now.Add(h.settings.Load().StopGrace-endMargin))
	defer cancelLimit()
	select {
	case <-limit.Done():
	case <-time.After(balancerDelay):
	}
	if err := h.gateway.Shutdown(limit); err != nil {
		logs.With(h.log, logs.CallersCut).WithField("active", h.gateway.Active()).WithError(err).Warn()
	}
	h.loop.Post(control.Depart{})
	ctx, cancel := context.WithTimeout(context.Background(), departDelay)
	defer cancel()
	_ = h.loop.Inspect(ctx, func(*control.Core) {})
	time.Sleep(departDelay)
}
