package platformhost

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/peer"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	platformtypes "github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/settings"
	"github.com/trefoilchute/trefoilchute/platform"
)

const (
	// joinTimeout bounds one attempt of a store operation.
	joinTimeout = 2 * time.Second
	// joinRetryDelay is the delay after a failed attempt.
	joinRetryDelay = 250 * time.Millisecond
	// firstListTimeout bounds the wait for the list of hosts before the peer connections and the
	// control loop are started. Without the list this host would schedule alone.
	firstListTimeout = 500 * time.Millisecond
)

// relistDelays are the delays between the reads of the changes of the list of hosts: hosts that
// start at about the same time may be missing from an earlier one.
var relistDelays = []time.Duration{250 * time.Millisecond, 750 * time.Millisecond, 2 * time.Second, 7 * time.Second}

// join registers this host in the store, then starts the peer connections and the control
// loop. It returns an error if the peer connections can't be started, since the other hosts
// can't work with a host that they can't reach.
func (h *Host) join(ctx context.Context) error {
	var once sync.Once
	startFollower := func(hosts int) { once.Do(func() { h.follower.Start(hosts) }) }
	j := joining{waiting: sync.OnceFunc(func() { startFollower(len(h.firstList(ctx).Hosts)) })}
	shared, ok := retry(ctx, h, logs.HostList, func(ctx context.Context) (platform.Shared, error) { return h.register(ctx, &j) })
	if !ok {
		return nil
	}
	list := h.firstList(ctx)
	startFollower(len(list.Hosts))
	if err := h.connectPeers(shared.Secret); err != nil {
		return err
	}
	h.group.Go("control loop", func() { h.loop.Run(h.lifetime) })
	h.group.Go("progress of the control loop", func() { h.watchLoop(h.lifetime, stallInterval) })
	h.group.Go("store messages", func() { h.receiveStoreMessages(h.lifetime) })
	h.connected.Store(true)
	h.group.Go("rows of a new era", func() { h.restoreRows(h.lifetime, shared.Secret) })
	h.restoreSuspects(shared.Suspects)
	h.followHosts(ctx, list.Position)
	return nil
}

// firstList reads the list of hosts and passes it to the control loop. It returns none if that takes
// longer than firstListTimeout.
func (h *Host) firstList(ctx context.Context) platform.HostList {
	ctx, cancel := context.WithTimeout(ctx, firstListTimeout)
	defer cancel()
	list, err := h.store.Hosts(ctx, platform.Position{})
	if err != nil {
		logs.With(h.log, logs.HostList).WithError(err).Warn()
		return platform.HostList{}
	}
	h.postHosts(list)
	return list
}

// row returns this host's row.
func (h *Host) row() platform.Host {
	s := h.settings.Load()
	return platform.Host{
		Name: string(s.Host), Address: s.PeerListen, Domain: string(s.Region), FailureDomain: string(s.Domain),
		Incarnation: h.incarnation, Capacity: capacity(s), Written: time.Now().UnixMilli(),
	}
}

// setIncarnation replaces the incarnation, before the control loop and the peer connections are started.
func (h *Host) setIncarnation(incarnation uint64) {
	h.incarnation = incarnation
	h.core.SetIncarnation(incarnation)
	h.rollouts.with(func(b *rolloutBook) { b.self = processName(h.settings.Load().Host, incarnation) })
	logs.With(h.log, logs.Enlisted).WithField("incarnation", incarnation).Info()
}

// processName names a process in the stored state of roll-outs.
func processName(host ident.Host, incarnation uint64) string {
	return string(host) + "/" + strconv.FormatUint(incarnation, 10)
}

// capacity returns the processor capacity of this host in millicores.
func capacity(s *settings.Gateway) uint32 {
	return uint32(millicoresPerCore * s.Cores * s.CoreShare)
}

// followHosts reads the changes of the list of hosts after a position, several times in the first
// seconds and then whenever this host writes its row again, until ctx is done.
func (h *Host) followHosts(ctx context.Context, after platform.Position) {
	delays := relistDelays
	if after.Version == 0 {
		delays = append([]time.Duration{0}, delays...)
	}
	for n := 0; ; n++ {
		delay := platform.HostRowInterval
		if n < len(delays) {
			delay = delays[n]
		}
		if !wait(ctx, delay) {
			return
		}
		list, ok := retry(ctx, h, logs.HostList, func(ctx context.Context) (platform.HostList, error) {
			if n >= len(delays) {
				err := h.store.Register(ctx, h.row())
				if errors.Is(err, platform.ErrSuperseded) {
					h.supersede()
				} else if err != nil {
					return platform.HostList{}, err
				}
			}
			return h.store.Hosts(ctx, after)
		})
		if !ok {
			return
		}
		after = list.Position
		h.postHosts(list)
	}
}

// wait waits for a time. It returns false if ctx is done first.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// postHosts passes a list of hosts to the control loop.
func (h *Host) postHosts(list platform.HostList) {
	for _, row := range list.Skipped {
		logs.With(h.log, logs.HostList).WithField("row", row).Warn("the row is no host's")
	}
	h.traffic.addHosts(list.Hosts)
	h.loop.Post(control.HostsListed{Hosts: hostEntries(list.Hosts, time.Now())})
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

// hostEntries converts rows of the store for the membership. Rows that say nothing about whether
// their host is running become addresses to try.
func hostEntries(hosts []platform.Host, now time.Time) []platformtypes.HostEntry {
	list := make([]platformtypes.HostEntry, len(hosts))
	for i := range hosts {
		host := &hosts[i]
		list[i] = platformtypes.HostEntry{Host: host.Name, Domain: host.Domain, Address: host.Address}
		if host.Running(now) {
			list[i].Incarnation, list[i].Capacity = host.Incarnation, host.Capacity
		}
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
		Sent: h.traffic.count, Panicked: h.panicked,
	})
	if err != nil {
		return errors.Wrap(err, "create the peer transport")
	}
	h.loop.Connect(control.Ports{
		Send: h.send, SetPeers: h.setPeers, Traffic: h.gateway, Configure: h.ignoreConfigured,
		Watch: ignoreWatch, Record: h.record, ExecuteOrder: ignoreOrder, Superseded: h.supersede,
		HostUnresponsive: h.hostUnresponsive, EndpointLeaving: h.endpointLeaving, StoreMessage: h.queueStoreMessage,
		RolloutDecided: h.rolloutDecided, Dropped: h.eventDropped,
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
