package platformhost

import (
	"context"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/logs"
)

const (
	// loadBalancerDelay is how long a stopping host still accepts new callers. The load
	// balancer checks readiness once a second and removes a host after two failed checks.
	loadBalancerDelay = 2500 * time.Millisecond
	// departDelay is the time allowed for sending the last messages to the other hosts.
	departDelay = 50 * time.Millisecond
	// exitMargin is the part of the stop grace period reserved for the process's exit.
	exitMargin = 300 * time.Millisecond
)

// stop drains the host: it reports not ready, hands its pools over to other hosts, lets
// waiting and running requests finish within the stop grace period, and then leaves the
// membership.
func (h *Host) stop() {
	now := time.Now()
	logs.With(h.log, logs.Stopping).WithField("active", h.gateway.Active()).Info()
	h.gateway.Stop(now)
	if !h.connected.Load() {
		return
	}
	h.loop.Post(control.Leave{})
	limit, cancelLimit := context.WithDeadline(context.Background(), now.Add(h.settings.Load().StopGrace-exitMargin))
	defer cancelLimit()
	select {
	case <-limit.Done():
	case <-time.After(loadBalancerDelay):
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
