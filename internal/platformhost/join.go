package platformhost

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/peer"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	platformtypes "github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/platform"
)

const (
	// joinTimeout bounds one round of calls to the store at the start.
	joinTimeout = 2 * time.Second
	// joinRetry is the wait after a round that failed.
	joinRetry = 250 * time.Millisecond
	// rereadAfter is when the list of hosts is read once more: hosts that started
	// at the same moment may not have been in it.
	rereadAfter = 3 * time.Second
)

// join registers this host, starts the links to the others and control. It returns
// an error if the links can't be started: a host without them is no use to the others.
func (h *Host) join(ctx context.Context) error {
	s := h.settings.Load()
	shared, ok := retry(ctx, h, logs.HostList, func(ctx context.Context) (platform.Shared, error) {
		if err := h.store.Register(ctx, platform.Host{
			Name: string(s.Host), Address: s.PeerListen, Domain: string(s.Region),
		}); err != nil && !errors.Is(err, platform.ErrAmbiguous) {
			return platform.Shared{}, err
		}
		return h.store.Shared(ctx, newSecret())
	})
	if !ok {
		return nil
	}
	if err := h.link(shared.Secret); err != nil {
		return err
	}
	h.group.Go(func() { h.loop.Run(h.life) })
	h.linked.Store(true)
	h.learnSuspects(shared.Suspects)
	for range 2 {
		hosts, ok := retry(ctx, h, logs.HostList, func(ctx context.Context) ([]platform.Host, error) {
			hosts, skipped, err := h.store.Hosts(ctx)
			for _, row := range skipped {
				logs.With(h.log, logs.HostList).WithField("row", row).Warn("the row is no host's")
			}
			return hosts, err
		})
		if !ok {
			return nil
		}
		h.loop.Post(control.HostsListed{Hosts: seeds(hosts)})
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(rereadAfter):
		}
	}
	return nil
}

// retry calls the store until a call succeeds, and logs those that don't as an event. It
// returns false when ctx ends.
func retry[T any](ctx context.Context, h *Host, event logs.Event, call func(context.Context) (T, error)) (T, bool) {
	for {
		bounded, cancel := context.WithTimeout(ctx, joinTimeout)
		value, err := call(bounded)
		cancel()
		if err == nil {
			return value, true
		}
		logs.With(h.log, event).WithError(err).Warn()
		select {
		case <-ctx.Done():
			return value, false
		case <-time.After(joinRetry):
		}
	}
}

// seeds returns hosts as addresses to try.
func seeds(hosts []platform.Host) []platformtypes.HostEntry {
	list := make([]platformtypes.HostEntry, len(hosts))
	for i, host := range hosts {
		list[i] = platformtypes.HostEntry{Host: host.Name, Domain: host.Domain, Address: host.Address}
	}
	return list
}

// link starts the links to the other hosts and connects control.
func (h *Host) link(secret string) error {
	s := h.settings.Load()
	var err error
	h.peers, err = peer.New(peer.Options{
		Host: s.Host, Incarnation: h.incarnation, Domain: s.Region,
		Listen: s.PeerListen, Listener: h.links, Secret: []byte(secret), Deliver: h.deliver, Logger: h.log,
	})
	if err != nil {
		return errors.Wrap(err, "links")
	}
	h.loop.Connect(control.Ports{
		Send: h.send, SetPeers: h.setPeers, Traffic: h.gateway, Configure: h.configured,
		Watch: ignoreWatch, Record: h.record, ExecuteOrder: ignoreOrder, Superseded: h.end,
		HostUnresponsive: h.unresponsive, EndpointLeaving: h.leaving, StoreMessage: h.follower.Receive,
	})
	return errors.Wrap(h.peers.Start(h.life), "links")
}

// deliver hands a message of another host to control.
func (h *Host) deliver(m *peerpb.Envelope) {
	h.loop.Post(control.Received{Message: m})
}

// setPeers brings the addresses of the other hosts to the links.
func (h *Host) setPeers(addresses map[ident.Host]string) {
	h.peers.SetPeers(addresses)
	h.gateway.SetHostCount(len(addresses) + 1)
}
