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
	// drainPoll is the time between two looks at what a stopping host has left.
	drainPoll = 50 * time.Millisecond
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
	limit := now.Add(h.settings.StopGrace - endMargin)
	for time.Now().Before(limit) {
		if time.Since(now) >= balancerDelay && h.gateway.Active() == 0 {
			break
		}
		time.Sleep(drainPoll)
	}
	if n := h.gateway.Active(); n > 0 {
		logs.With(h.log, logs.CallersCut).WithField("active", n).Warn()
	}
	h.loop.Post(control.Depart{})
	ctx, cancel := context.WithTimeout(context.Background(), departDelay)
	defer cancel()
	_ = h.loop.Inspect(ctx, func(*control.Core) {})
	time.Sleep(departDelay)
}
