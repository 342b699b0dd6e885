// Package platformhost assembles and runs the process of a gateway host on the users'
// platform: the gateway for callers, the control loop with the pool schedulers, the peer
// connections to the other hosts, and the follower of the platform's store.
package platformhost

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/trefoilchute/trefoilchute/internal/clock"
	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/follow"
	"github.com/trefoilchute/trefoilchute/internal/gateway"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/metrics"
	"github.com/trefoilchute/trefoilchute/internal/peer"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/settings"
	"github.com/trefoilchute/trefoilchute/internal/supervise"
	"github.com/trefoilchute/trefoilchute/internal/system/membership"
	"github.com/trefoilchute/trefoilchute/platform"
)

const (
	// secretBytes is the length of the secret shared by the hosts.
	secretBytes = 16
	// millicoresPerCore converts cores to the unit in which hosts announce their processor capacity.
	millicoresPerCore = 1000
	// gcPercent is the heap growth over the live heap, in percent, that starts a garbage
	// collection while the process is below the memory limit.
	gcPercent = 200
)

// Host is the process of a gateway host.
type Host struct {
	// settings holds the settings in effect.
	settings atomic.Pointer[settings.Gateway]
	// readSettings reads the settings file.
	readSettings func() (*settings.Gateway, error)
	logger       *logrus.Logger
	// incarnation is above those of the host's earlier processes once the host has registered.
	incarnation uint64
	log         logrus.FieldLogger
	startTime   time.Duration

	store    *platform.Store
	follower *follow.Follower
	gateway  *gateway.Gateway
	core     *control.Core
	loop     *control.Loop
	peers    *peer.Transport
	metrics  *metrics.Metrics
	view     storeView
	suspects suspects
	rollouts rollouts
	eraRise  eraRise
	traffic  peerTraffic

	callerListener, readyListener, metricsListener, peerListener net.Listener

	group supervise.Group
	// failed receives the error that ends the process.
	failed chan error
	// superseded is closed when a later process of this host has started.
	superseded    chan struct{}
	supersedeOnce sync.Once
	// storeMessages queues the other hosts' messages about the store.
	storeMessages chan *peerpb.Envelope
	// lifetime is canceled when the process stops serving.
	lifetime context.Context
	cancel   context.CancelFunc
	// connected reports whether the peer connections to the other hosts have been started.
	connected atomic.Bool
}

// New assembles a host and opens its listeners; Run starts serving on them. readSettings
// is called on each reload to read the settings file.
func New(s settings.Gateway, readSettings func() (*settings.Gateway, error), log *logrus.Logger) (*Host, error) {
	debug.SetGCPercent(gcPercent)
	h := &Host{
		readSettings: readSettings, incarnation: uint64(time.Now().UnixMilli()), startTime: clock.Boot(),
		logger: log, log: log.WithField("host", s.Host),
		failed: make(chan error, 1), superseded: make(chan struct{}), storeMessages: make(chan *peerpb.Envelope, storeMessageQueue),
	}
	h.group.Panicked = h.panicked
	h.suspects.init()
	h.eraRise.init()
	h.rollouts.init(processName(s.Host, h.incarnation), s.Region)
	h.traffic.init(s.Domain)
	h.settings.Store(&s)
	h.limitMemory(&s)
	h.store = platform.NewStore(s.Store, h.countStoreCall)
	h.store.OnEra(h.storeEra)
	h.lifetime, h.cancel = context.WithCancel(context.Background())
	var err error
	if h.metrics, err = metrics.New(h.status); err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	if err := h.listen(); err != nil {
		return nil, err
	}
	h.core = control.New(control.Config{
		Self: s.Host, Incarnation: h.incarnation, Domain: s.Region, Address: s.PeerListen,
		Capacity: capacity(&s), Seed: h.incarnation, Nonce: func() string { return "" }, External: true,
		Domains: s.Domains, ProtectShares: s.ProtectShares,
	})
	h.loop = control.NewLoopAt(h.core, h.now)
	h.follower = follow.New(follow.Options{
		Self: s.Host, Store: h.store, Log: h.log, Readers: h.storeReaders, Hosts: h.liveHosts, Send: h.send,
		OnRuleset: h.setRuleset, OnEndpoints: h.setEndpoints, OnOrders: h.onOrders(),
		KeyLife: func() time.Duration { return h.settings.Load().KeyLife },
		Others:  h.otherHosts,
		OnEra:   func(era platform.Era) { h.eraRise.note(era, false) },
	})
	h.gateway = gateway.New(gateway.Options{
		Host: s.Host, Domain: s.Domain, Log: h.log, Post: h.loop.Post, Offer: h.loop.Offer, Now: h.loop.Now,
		ConfigurationAge: h.follower.ConfigurationAge, UntilConfirmed: h.follower.UntilConfirmed, Tuning: tuning(&s),
		SendRoutes: s.Rollout.Enabled(), SendSizes: s.Domains.Enabled(),
		OnOutcome: h.recordOutcome, OnGap: h.recordGap, OnDrop: h.countDrop, OnMemory: h.countLimited,
	})
	return h, nil
}

// now returns the time since the start of the process, for the control loop. It includes
// the time during which the operating system was suspended.
func (h *Host) now() time.Duration {
	return clock.Boot() - h.startTime
}

// listen opens the listeners for callers, readiness checks, metrics and peers.
func (h *Host) listen() error {
	s := h.settings.Load()
	for _, l := range []struct {
		address string
		to      *net.Listener
	}{
		{s.Listen, &h.callerListener},
		{s.ReadyListen, &h.readyListener},
		{s.MetricsListen, &h.metricsListener},
		{s.PeerListen, &h.peerListener},
	} {
		ln, err := net.Listen("tcp", l.address)
		if err != nil {
			h.closeListeners()
			return errors.Wrapf(err, "listen on %s", l.address)
		}
		*l.to = ln
	}
	return nil
}

// closeListeners closes the listeners that are open.
func (h *Host) closeListeners() {
	for _, ln := range []net.Listener{h.callerListener, h.readyListener, h.metricsListener, h.peerListener} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// Run serves until ctx is done, then drains running requests within the stop grace period.
// A value on reload makes it read the settings file again.
func (h *Host) Run(ctx context.Context, reload <-chan struct{}) error {
	defer h.cancel()
	s := h.settings.Load()
	logs.With(h.log, logs.Ready).WithFields(logrus.Fields{
		"listen": s.Listen, "peer_listen": s.PeerListen,
		"domain": s.Domain, "settings": s.Version(),
	}).Info()
	h.group.Go("configuration", func() { h.follower.FollowConfiguration(h.lifetime) })
	h.group.Go("endpoints", func() { h.follower.FollowEndpoints(h.lifetime) })
	h.group.Go("readers", func() { h.follower.FollowReaders(h.lifetime) })
	h.group.Go("connections", func() { h.sweepConnections(h.lifetime) })
	h.group.Go("pools", func() { h.watchPools(h.lifetime) })
	h.group.Go("suspects", func() { h.writeSuspects(h.lifetime) })
	h.startRollouts(h.lifetime)
	errs := make(chan error, 4)
	h.group.Go("join", func() {
		if err := h.join(h.lifetime); err != nil {
			errs <- err
		}
	})
	h.group.Go("callers", func() { errs <- h.gateway.Serve(h.callerListener) })
	h.group.Go("readiness", func() { errs <- serveHTTP(h.lifetime, h.readyListener, http.HandlerFunc(h.serveReady)) })
	h.group.Go("metrics", func() { errs <- serveHTTP(h.lifetime, h.metricsListener, h.metrics.Handler()) })
	err := h.waitForEnd(ctx, reload, errs)
	if errors.Is(err, errUnusable) {
		// What the failed part holds, such as a lock, may keep the others from ending.
		return err
	}
	h.cancel()
	_ = h.gateway.Close()
	if h.connected.Load() {
		h.peers.Close()
	}
	h.closeListeners()
	h.group.Wait()
	h.store.Close()
	logs.With(h.log, logs.Stopped).Info()
	return err
}

// waitForEnd waits until ctx is done or a server fails, and reloads the settings meanwhile.
func (h *Host) waitForEnd(ctx context.Context, reload <-chan struct{}, errs <-chan error) error {
	for {
		select {
		case <-ctx.Done():
			h.stop()
			return nil
		case err := <-errs:
			return err
		case err := <-h.failed:
			return err
		case <-h.superseded:
			h.stop()
			return nil
		case <-reload:
			h.reload()
		}
	}
}

// serveHTTP serves handler on ln until ctx is done.
func serveHTTP(ctx context.Context, ln net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler: handler, ReadTimeout: auxiliaryTimeout, WriteTimeout: auxiliaryTimeout, IdleTimeout: auxiliaryIdleTimeout,
		MaxHeaderBytes: auxiliaryMaxHeaderBytes,
	}
	stopClose := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stopClose()
	if err := server.Serve(&boundedListener{Listener: ln, most: auxiliaryMaxConnections}); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve "+ln.Addr().String())
	}
	return nil
}

const (
	// auxiliaryTimeout bounds the time to read a readiness check or a metrics scrape, and
	// the time to write its response.
	auxiliaryTimeout = 5 * time.Second
	// auxiliaryIdleTimeout is how long an idle connection to these servers is kept. It
	// exceeds the scrape interval, so that scrapes reuse their connection.
	auxiliaryIdleTimeout = 60 * time.Second
	// auxiliaryMaxHeaderBytes bounds the headers of a request to these servers.
	auxiliaryMaxHeaderBytes = 16 << 10
	// auxiliaryMaxConnections bounds the connections to each of these servers.
	auxiliaryMaxConnections = 32
)

// serveReady answers the load balancer's readiness check.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !h.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// isReady reports whether the load balancer should send callers to this host. Before a configuration
// with teams was first confirmed, the host refuses keys that other hosts may accept.
func (h *Host) isReady() bool {
	_, endpoints := h.follower.EndpointsAge()
	_, confirmed := h.follower.ConfigurationAge()
	rules := h.gateway.Ruleset()
	return endpoints && rules != nil && (confirmed || len(rules.Teams) == 0) && h.connected.Load() && h.gateway.StoppingSince() == nil &&
		h.loop.Idle() < stallTimeout
}

// newSecret returns a random secret for the connections between hosts.
func newSecret() string {
	var b [secretBytes]byte
	_, _ = rand.Read(b[:]) // documented never to return an error
	return hex.EncodeToString(b[:])
}

// send queues a message for another host and reports whether it was queued rather than
// dropped.
func (h *Host) send(to ident.Host, m *peerpb.Envelope) bool {
	return h.connected.Load() && h.peers.Send(to, m)
}

// storeReaders returns the hosts that read the store on behalf of the others. It returns
// none before the peer connections are started.
func (h *Host) storeReaders() []ident.Host {
	if !h.connected.Load() {
		return nil
	}
	return h.inspectHosts((*control.Core).StoreReaders)
}

// liveHosts returns the hosts that are alive, or none before the peer connections are started.
func (h *Host) liveHosts() []ident.Host {
	if !h.connected.Load() {
		return nil
	}
	return h.inspectHosts((*control.Core).LiveHosts)
}

// otherHosts returns all other hosts, or nil if one is dead or that isn't known.
func (h *Host) otherHosts() []ident.Host {
	if !h.connected.Load() {
		return nil
	}
	self := h.settings.Load().Host
	return h.inspectHosts(func(c *control.Core) []ident.Host {
		others := []ident.Host{}
		for _, m := range c.Members() {
			if m.State == membership.Dead {
				return nil
			}
			if m.Host != self {
				others = append(others, m.Host)
			}
		}
		return others
	})
}

// inspectHosts reads a list of hosts from the control state. It returns none if the
// control loop doesn't answer within inspectTimeout.
func (h *Host) inspectHosts(list func(*control.Core) []ident.Host) []ident.Host {
	var hosts []ident.Host
	ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	if err := h.loop.Inspect(ctx, func(c *control.Core) { hosts = list(c) }); err != nil {
		return nil
	}
	return hosts
}
