package host

import (
	"context"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/platform"
)

const (
	// listInterval is the time between two looks at the platform's host list,
	// and firstListInterval that between the first ones, while hosts that start
	// together don't know each other.
	listInterval      = 5 * time.Second
	firstListInterval = 500 * time.Millisecond
	// firstLists is the number of the first looks.
	firstLists = 10
)

// followHostList registers this host with the platform and reads its list.
func (h *Host) followHostList(ctx context.Context) {
	for _, address := range h.settings.Seeds {
		h.peers.Hint(address)
	}
	ticker := time.NewTicker(firstListInterval)
	defer ticker.Stop()
	for looks := 1; ; looks++ {
		h.exchangeHostList(ctx)
		if looks == firstLists {
			ticker.Reset(listInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// exchangeHostList makes one exchange with the platform's host list. Failures
// are left to the next one: the list is only a seed.
func (h *Host) exchangeHostList(ctx context.Context) {
	own := platform.HostEntry{
		Host: string(h.settings.Host), Domain: string(h.settings.Domain), Address: h.peers.Addr(),
	}
	if err := h.client.Register(ctx, own); err != nil {
		logs.With(h.log, logs.HostList).WithError(err).Debug()
		return
	}
	list, err := h.client.ListHosts(ctx)
	if err != nil {
		logs.With(h.log, logs.HostList).WithError(err).Debug()
		return
	}
	h.loop.Post(control.Listed{Hosts: list})
}
