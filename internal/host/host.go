// Package host assembles and runs the process of an entry host.
package host

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/trefoilchute/trefoilchute/internal/admin"
	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/entry"
	"github.com/trefoilchute/trefoilchute/internal/explain"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/metrics"
	"github.com/trefoilchute/trefoilchute/internal/ordering"
	"github.com/trefoilchute/trefoilchute/internal/peer"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/settings"
	"github.com/trefoilchute/trefoilchute/internal/traffic"
	"github.com/trefoilchute/trefoilchute/internal/watcher"
)

const (
	// listInterval is the time between two looks at the platform's host list,
	// and firstListInterval that between the first ones, while hosts that start
	// together don't know each other.
	listInterval      = 5 * time.Second
	firstListInterval = 500 * time.Millisecond
	// firstLists is the number of the first looks.
	firstLists = 10
	// balancerDelay is how long a stopping host still takes new callers, while
	// the balancer notices that it isn't ready.
	balancerDelay = 2 * time.Second
	// nonceBytes is the length of a claim's nonce.
	nonceBytes = 16
	// drainPoll is the time between two looks at what a stopping host has left.
	drainPoll = 50 * time.Millisecond
)

// Host is the process of an entry host.
type Host struct {
	settings    settings.Entry
	incarnation uint64
	log         logrus.FieldLogger

	client  *platform.Client
	core    *control.Core
	loop    *control.Loop
	peers   *peer.Transport
	runner  *traffic.Runner
	entry   *entry.Server
	admin   *admin.Server
	watcher *watcher.Watcher
	orders  *ordering.Executor
	metrics *metrics.Metrics
	book    *explain.Book
	backend *backend

	entryListener net.Listener
	adminListener net.Listener
	group         conc.WaitGroup
	// life ends with the process's work; end ends it.
	life context.Context
	end  context.CancelFunc
	// assembled is closed when messages of other hosts can be taken.
	assembled chan struct{}
	// done is closed when Run has ended.
	done chan struct{}
}

// New assembles a host and opens its listeners, but serves nothing yet.
func New(s settings.Entry, log logrus.FieldLogger) (*Host, error) {
	h := &Host{
		settings:    s,
		incarnation: uint64(time.Now().UnixMilli()),
		log:         log.WithField("host", s.Host),
		client:      platform.NewClient(s.Platform, platform.Options{}),
		book:        explain.New(),
		assembled:   make(chan struct{}),
		done:        make(chan struct{}),
	}
	if err := h.listen(); err != nil {
		return nil, err
	}
	h.life, h.end = context.WithCancel(context.Background())
	if err := h.connectPeers(); err != nil {
		h.end()
		return nil, err
	}
	if err := h.assemble(); err != nil {
		h.end()
		return nil, err
	}
	close(h.assembled)
	return h, nil
}

// Address is the address for callers.
func (h *Host) Address() string {
	return h.entryListener.Addr().String()
}

// PeerStats returns the counters of the transport to the other hosts.
func (h *Host) PeerStats() peer.Stats {
	return h.peers.Stats()
}

// Wait waits until Run has ended.
func (h *Host) Wait() {
	<-h.done
}

// listen opens the listeners for callers and operators.
func (h *Host) listen() error {
	var err error
	if h.entryListener, err = net.Listen("tcp", h.settings.Listen); err != nil {
		return errors.Wrap(err, "host: listen for callers")
	}
	if h.adminListener, err = net.Listen("tcp", h.settings.AdminListen); err != nil {
		_ = h.entryListener.Close()
		return errors.Wrap(err, "host: listen for operators")
	}
	return nil
}

// connectPeers makes the transport to the other hosts.
func (h *Host) connectPeers() error {
	var err error
	h.peers, err = peer.New(peer.Options{
		Host: h.settings.Host, Incarnation: h.incarnation, Domain: h.settings.Domain,
		Listen: h.settings.PeerListen, Secret: []byte(h.settings.PeerSecret),
		Deliver:   h.deliver,
		Connected: h.connected,
		Logger:    h.log,
	})
	if err != nil {
		return errors.Wrap(err, "host: peers")
	}
	return errors.Wrap(h.peers.Start(h.life), "host: start peers")
}

// deliver hands a message of another host to control.
func (h *Host) deliver(m *peerpb.Envelope) {
	<-h.assembled
	h.loop.Post(control.Received{Message: m})
}

// connected tells the membership of a host met at a seed address.
func (h *Host) connected(c peer.Contact) {
	<-h.assembled
	if c.Address == "" {
		return
	}
	h.loop.Post(control.Listed{Hosts: []platform.HostEntry{{
		Host: string(c.Host), Domain: string(c.Domain), Address: c.Address,
	}}})
}

// assemble makes the parts and connects them.
func (h *Host) assemble() error {
	h.core = control.New(control.Config{
		Self: h.settings.Host, Incarnation: h.incarnation, Domain: h.settings.Domain,
		Address: h.peers.Addr(), Seed: seed(h.settings, h.incarnation), Nonce: nonce,
	})
	h.loop = control.NewLoop(h.core)
	h.runner = traffic.NewRunner(traffic.Options{
		Self: h.settings.Host, Post: h.loop.Post, Send: h.send, Gap: h.gap,
	})
	h.watcher = watcher.New(h.loop.Post)
	h.orders = ordering.New(h.loop.Post, h.loop.Now, h.client)
	h.backend = &backend{host: h}
	var err error
	if h.metrics, err = metrics.New(h.backend.metrics); err != nil {
		return errors.Wrap(err, "host: metrics")
	}
	h.entry = entry.New(entry.Options{
		Host: h.settings.Host, Incarnation: h.incarnation, Post: h.loop.Post,
		Runner: h.runner, Now: h.loop.Now, Observe: h.observe,
		Metrics: h.metrics.Handler(),
	})
	h.admin = admin.New(h.backend, admin.Options{
		Store: resource.NewStore(h.client), Token: h.settings.AdminToken,
	})
	h.loop.Connect(control.Ports{
		Table: h.metrics.Table(h.client), Objects: h.metrics.Objects(h.client), Send: h.send, SetPeers: h.peers.SetPeers,
		Traffic: h.runner, Configure: h.configure, Watch: h.watcher.Set, Record: h.record,
		Order: h.orders.Do,
	})
	return nil
}

// send queues a message for another host.
func (h *Host) send(to hostID, m *peerpb.Envelope) bool {
	return h.peers.Send(to, m)
}

// configure brings a configuration into force on the traffic side.
func (h *Host) configure(snap *resource.Snapshot) {
	h.backend.snapshot.Store(snap)
	h.entry.Configure(snap)
	logs.With(h.log, logs.ConfigurationInForce).WithField("revision", snap.Revision).Info()
}

// Run serves until ctx ends, then stops without cutting a request.
func (h *Host) Run(ctx context.Context) error {
	defer close(h.done)
	defer h.end()
	h.group.Go(func() { h.loop.Run(h.life) })
	h.group.Go(func() { h.followHostList(h.life) })
	failed := make(chan error, 2)
	h.group.Go(func() { failed <- h.entry.Serve(h.entryListener) })
	h.group.Go(func() { failed <- h.admin.Serve(h.adminListener) })
	logs.With(h.log, logs.Ready).WithFields(logrus.Fields{
		"listen":       h.entryListener.Addr().String(),
		"admin_listen": h.adminListener.Addr().String(), "peer_listen": h.peers.Addr(),
		"domain": h.settings.Domain, "incarnation": h.incarnation,
	}).Info()
	var err error
	select {
	case <-ctx.Done():
		h.stop()
	case err = <-failed:
	}
	h.end()
	h.peers.Close()
	h.group.Wait()
	h.client.Close()
	logs.With(h.log, logs.Stopped).Info()
	return err
}

// stop ends the service without cutting a request: readiness off, the pools to
// other hosts, what waits and runs to its end, then out of the membership.
func (h *Host) stop() {
	logs.With(h.log, logs.Stopping).Info()
	limit := time.Now().Add(h.settings.DrainGrace)
	h.entry.Drain()
	h.loop.Post(control.Leave{})
	time.Sleep(min(balancerDelay, h.settings.DrainGrace))
	shut := make(chan error, 1)
	h.group.Go(func() { shut <- h.entry.Shutdown() })
	h.awaitIdle(limit)
	ctx, cancel := context.WithDeadline(context.Background(), limit.Add(balancerDelay))
	defer cancel()
	if err := h.admin.Shutdown(ctx); err != nil {
		logs.With(h.log, logs.AdminShutdown).WithError(err).Warn()
	}
	select {
	case <-shut:
	case <-ctx.Done():
		logs.With(h.log, logs.CallersCut).Warn()
	}
	h.loop.Post(control.Depart{})
	_ = h.loop.Inspect(ctx, func(*control.Core) {})
	h.watcher.Close()
	h.orders.Wait()
	h.runner.Wait()
}

// awaitIdle waits until nothing is in custody, no caller is served and the
// table has every claim's answer, or until the limit.
func (h *Host) awaitIdle(limit time.Time) {
	for time.Now().Before(limit) {
		var left int
		ctx, cancel := context.WithDeadline(context.Background(), limit)
		err := h.loop.Inspect(ctx, func(c *control.Core) {
			waiting, dispatched, claims := c.Busy()
			left = waiting + dispatched + claims
		})
		cancel()
		if err == nil && left == 0 && h.entry.Active() == 0 {
			return
		}
		time.Sleep(drainPoll)
	}
}

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

// nonce returns a random value for a claim.
func nonce() string {
	var b [nonceBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// seed derives the seed of a process from its name and incarnation.
func seed(s settings.Entry, incarnation uint64) uint64 {
	var b [8]byte
	copy(b[:], s.Host)
	return binary.BigEndian.Uint64(b[:]) ^ incarnation
}
