package host

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/platform"
)

const (
	// registerInterval is the time between two refreshes of this host's entry in
	// the platform's host list. A host that starts begins with
	// firstRegisterInterval, which doubles each time.
	registerInterval      = 5 * time.Second
	firstRegisterInterval = 500 * time.Millisecond
	// listEvery is the number of refreshes for one look at the list, once the
	// host has started: the membership finds out by itself who lives.
	listEvery = 6
	// jitterPart is the part of an interval that is drawn, so that hosts that
	// start together don't come together.
	jitterPart = 0.2
)

// followHostList registers this host with the platform and reads its list.
func (h *Host) followHostList(ctx context.Context) {
	for _, address := range h.settings.Seeds {
		h.peers.Hint(address)
	}
	interval := firstRegisterInterval
	for looks := 0; ; looks++ {
		if h.register(ctx) && (interval < registerInterval || looks%listEvery == 0) {
			h.list(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(jitter(interval)):
		}
		interval = min(2*interval, registerInterval)
	}
}

// jitter returns an interval with its drawn part.
func jitter(interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * (1 + jitterPart*(rand.Float64()-0.5)))
}

// register refreshes this host's entry. A failure is left to the next refresh.
func (h *Host) register(ctx context.Context) bool {
	err := h.client.Register(ctx, platform.HostEntry{
		Host: string(h.settings.Host), Domain: string(h.settings.Domain), Address: h.peers.Addr(),
	})
	if err != nil {
		logs.With(h.log, logs.HostList).WithError(err).Debug()
	}
	return err == nil
}

// list reads the host list. It is only a seed: a failure is left to the next
// look.
func (h *Host) list(ctx context.Context) {
	list, err := h.client.ListHosts(ctx)
	if err != nil {
		logs.With(h.log, logs.HostList).WithError(err).Debug()
		return
	}
	h.loop.Post(control.HostsListed{Hosts: list})
}
