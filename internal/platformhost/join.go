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
	// joinTimeout bounds one attempt of a store operation.
	joinTimeout = 2 * time.Second
	// joinRetryDelay is the delay after a failed attempt.
	joinRetryDelay = 250 * time.Millisecond
	// relistDelay is the delay before the list of hosts is read a second time: hosts that
	// started at the same moment may be missing from the first list.
	relistDelay = 3 * time.Second
)

// join registers this host in the store, then starts the peer connections and the control
// loop. It returns an error if the peer connections can't be started, since the other hosts
// can't work with a host that they can't reach.
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
	if err := h.connectPeers(shared.Secret); err != nil {
		return err
	}
	h.group.Go(func() { h.loop.Run(h.lifetime) })
	h.connected.Store(true)
	h.restoreSuspects(shared.Suspects)
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
		h.loop.Post(control.HostsListed{Hosts: hostEntries(hosts)})
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(relistDelay):
		}
	}
	return nil
}

// retry repeats a store operation until it succeeds and logs each failure as event. It
// returns false if ctx is done first.
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
		case <-time.After(joinRetryDelay):
		}
	}
}

// hostEntries converts rows of the store to seed addresses for the membership.
func hostEntries(hosts []platform.Host) []platformtypes.HostEntry {
	list := make([]platformtypes.HostEntry, len(hosts))
	for i, host := range hosts {
		list[i] = platformtypes.HostEntry{Host: host.Name, Domain: host.Domain, Address: host.Address}
	}
	return list
}

// connectPeers starts the peer connections and connects the control loop to its ports.
func (h *Host) connectPeers(secret string) error {
	s := h.settings.Load()
	var err error
	h.peers, err = peer.New(peer.Options{
		Host: s.Host, Incarnation: h.incarnation, Domain: s.Region,
		Listen: s.PeerListen, Listener: h.peerListener, Secret: []byte(secret), Deliver: h.deliver, Logger: h.log,
	})
	if err != nil {
		return errors.Wrap(err, "create the peer transport")
	}
	h.loop.Connect(control.Ports{
		Send: h.send, SetPeers: h.setPeers, Traffic: h.gateway, Configure: h.ignoreConfigured,
		Watch: ignoreWatch, Record: h.record, ExecuteOrder: ignoreOrder, Superseded: h.cancel,
		HostUnresponsive: h.hostUnresponsive, EndpointLeaving: h.endpointLeaving, StoreMessage: h.follower.Receive,
		RolloutDecided: h.rolloutDecided,
	})
	return errors.Wrap(h.peers.Start(h.lifetime), "start the peer transport")
}

// deliver posts a message from another host to the control loop.
func (h *Host) deliver(m *peerpb.Envelope) {
	h.loop.Post(control.Received{Message: m})
}

// setPeers passes the addresses of the other hosts to the peer transport, and the number
// of hosts to the gateway.
func (h *Host) setPeers(addresses map[ident.Host]string) {
	h.peers.SetPeers(addresses)
	h.gateway.SetHostCount(len(addresses) + 1)
}
