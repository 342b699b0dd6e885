package platformhost

import (
	"context"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/platform"
)

const (
	// loadBalancerDelay is how long a stopping host still accepts new callers. The load
	// balancer checks readiness once a second and removes a host after two failed checks.
	loadBalancerDelay = 2500 * time.Millisecond
	// dispatchShare is the fraction of the stop grace period in which requests are still
	// dispatched. In the rest those that run are to end.
	dispatchShare = 0.5
	// answerDelay is the time allowed for answering the requests that are aborted.
	answerDelay = 100 * time.Millisecond
	// departDelay is the time allowed for sending the last messages to the other hosts.
	departDelay = 50 * time.Millisecond
	// exitMargin is the part of the stop grace period reserved for aborting requests and the
	// process's exit.
	exitMargin = 400 * time.Millisecond
)

// stop drains the host: it reports not ready, hands its pools over to other hosts, lets
// waiting and running requests finish within the stop grace period, and then leaves the
// membership. Each request that was read is answered: those that are not dispatched in time
// are refused, those that still run at the end are aborted.
func (h *Host) stop() {
	began, grace := time.Now(), h.settings.Load().StopGrace
	logs.With(h.log, logs.Stopping).WithField("active", h.gateway.Active()).Info()
	h.gateway.Stop(began)
	if !h.connected.Load() {
		// Nothing dispatches the requests that wait.
		h.gateway.Abort()
		h.shutdown(began.Add(answerDelay))
		return
	}
	h.loop.Post(control.Leave{})
	h.group.Go("unlist", h.unlist)
	drain := time.AfterFunc(time.Duration(dispatchShare*float64(grace)), func() { h.loop.Post(control.DrainTimedOut{}) })
	defer drain.Stop()
	abort := time.AfterFunc(grace-exitMargin, h.abort)
	defer abort.Stop()
	time.Sleep(min(loadBalancerDelay, grace-exitMargin))
	h.shutdown(began.Add(grace - exitMargin + answerDelay))
	h.loop.Post(control.Depart{})
	ctx, cancel := context.WithTimeout(context.Background(), departDelay)
	defer cancel()
	_ = h.loop.Inspect(ctx, func(*control.Core) {})
	time.Sleep(departDelay)
}

// unlist marks this host's row as that of a host that doesn't run, so that a host that starts
// later doesn't count on it. If that fails, the other hosts tell it.
func (h *Host) unlist() {
	s := h.settings.Load()
	ctx, cancel := context.WithTimeout(h.lifetime, joinTimeout)
	defer cancel()
	if err := h.store.Register(ctx, platform.Host{
		Name: string(s.Host), Address: s.PeerListen, Domain: string(s.Region), FailureDomain: string(s.Domain),
		LastIncarnation: h.incarnation,
	}); err != nil {
		logs.With(h.log, logs.HostList).WithError(err).Warn()
	}
}

// abort ends the requests that the stop grace period has no more time for.
func (h *Host) abort() {
	if active := h.gateway.Active(); active > 0 {
		logs.With(h.log, logs.CallersCut).WithField("active", active).Warn()
	}
	h.gateway.Abort()
}

// shutdown waits for the active requests until a time.
func (h *Host) shutdown(until time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	if err := h.gateway.Shutdown(ctx); err != nil && h.gateway.Active() > 0 {
		logs.With(h.log, logs.CallersCut).WithField("active", h.gateway.Active()).WithError(err).Warn()
	}
}
