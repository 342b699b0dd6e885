// Package platformhost assembles and runs the process of an entry host on the
// users' platform: the gateway for callers, control with the pool schedulers, the
// links to the other hosts, and the follower of the platform's store.
package platformhost

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

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
	"github.com/trefoilchute/trefoilchute/platform"
)

const (
	// secretBytes is the length of the secret between the hosts.
	secretBytes = 16
	// thousandths turns cores into the unit in which hosts tell their processor.
	thousandths = 1000
	// memoryShare is the part of the process's memory that the runtime is to keep
	// to; the rest is for its own structures and for bytes in the kernel.
	memoryShare = 0.6
	// gcPercent lets the heap grow to this part more than what lives before it is
	// collected, below the memory limit.
	gcPercent = 200
)

// Host is the process of an entry host.
type Host struct {
	// settings are those in force.
	settings atomic.Pointer[settings.Gateway]
	// reread reads the settings file again.
	reread      func() (*settings.Gateway, error)
	logger      *logrus.Logger
	incarnation uint64
	log         logrus.FieldLogger
	started     time.Duration

	store    *platform.Store
	follower *follow.Follower
	gateway  *gateway.Gateway
	core     *control.Core
	loop     *control.Loop
	peers    *peer.Transport
	metrics  *metrics.Metrics
	view     view
	suspects suspects

	callers, readiness, scrapes, links net.Listener

	group conc.WaitGroup
	// life ends with the process's work.
	life context.Context
	end  context.CancelFunc
	// linked says that the links to the other hosts have been started.
	linked atomic.Bool
}

// New assembles a host and opens its addresses. It serves nothing yet. reread reads the
// settings file again when it has changed.
func New(s settings.Gateway, reread func() (*settings.Gateway, error), log *logrus.Logger) (*Host, error) {
	debug.SetGCPercent(gcPercent)
	h := &Host{
		reread: reread, incarnation: uint64(time.Now().UnixMilli()), started: clock.Boot(),
		logger: log, log: log.WithField("host", s.Host),
	}
	h.suspects.init()
	h.settings.Store(&s)
	limitMemory(&s)
	h.store = platform.NewStore(s.Store, h.storeCalled)
	h.life, h.end = context.WithCancel(context.Background())
	var err error
	if h.metrics, err = metrics.New(h.status); err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	if err := h.listen(); err != nil {
		return nil, err
	}
	h.core = control.New(control.Config{
		Self: s.Host, Incarnation: h.incarnation, Domain: s.Region, Address: s.PeerListen,
		Capacity: uint32(thousandths * s.Cores * s.CoreShare), Seed: h.incarnation, Nonce: func() string { return "" }, External: true,
	})
	h.loop = control.NewLoopAt(h.core, h.now)
	h.follower = follow.New(follow.Options{
		Self: s.Host, Store: h.store, Log: h.log, Readers: h.storeReaders, Hosts: h.liveHosts, Send: h.send,
		OnRuleset: h.adoptRules, OnEndpoints: h.adoptEndpoints,
	})
	h.gateway = gateway.New(gateway.Options{
		Host: s.Host, Domain: s.Domain, Log: h.log, Post: h.loop.Post, Now: h.loop.Now,
		ConfigurationAge: h.follower.ConfigurationAge, Tuning: tuning(&s),
		OnOutcome: h.observe, OnGap: h.gap, OnDrop: h.dropped,
	})
	return h, nil
}

// now is control's clock. It also counts the time in which the machine was
// suspended.
func (h *Host) now() time.Duration {
	return clock.Boot() - h.started
}

// listen opens the addresses.
func (h *Host) listen() error {
	s := h.settings.Load()
	for _, l := range []struct {
		address string
		to      *net.Listener
	}{
		{s.Listen, &h.callers},
		{s.ReadyListen, &h.readiness},
		{s.MetricsListen, &h.scrapes},
		{s.PeerListen, &h.links},
	} {
		ln, err := net.Listen("tcp", l.address)
		if err != nil {
			h.unlisten()
			return errors.Wrapf(err, "listen on %s", l.address)
		}
		*l.to = ln
	}
	return nil
}

// unlisten closes the addresses that are open.
func (h *Host) unlisten() {
	for _, ln := range []net.Listener{h.callers, h.readiness, h.scrapes, h.links} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// Run serves until ctx ends, then stops without cutting a request. reload tells when the
// settings file is to be read again.
func (h *Host) Run(ctx context.Context, reload <-chan struct{}) error {
	defer h.end()
	s := h.settings.Load()
	logs.With(h.log, logs.Ready).WithFields(logrus.Fields{
		"listen": s.Listen, "peer_listen": s.PeerListen,
		"domain": s.Domain, "incarnation": h.incarnation, "settings": s.Version(),
	}).Info()
	h.group.Go(func() { h.follower.FollowConfiguration(h.life) })
	h.group.Go(func() { h.follower.FollowEndpoints(h.life) })
	h.group.Go(func() { h.follower.FollowReaders(h.life) })
	h.group.Go(func() { h.sweep(h.life) })
	h.group.Go(func() { h.watchPools(h.life) })
	h.group.Go(func() { h.writeSuspects(h.life) })
	failed := make(chan error, 4)
	h.group.Go(func() {
		if err := h.join(h.life); err != nil {
			failed <- err
		}
	})
	h.group.Go(func() { failed <- h.gateway.Serve(h.callers) })
	h.group.Go(func() { failed <- serveHTTP(h.life, h.readiness, http.HandlerFunc(h.ready)) })
	h.group.Go(func() { failed <- serveHTTP(h.life, h.scrapes, h.metrics.Handler()) })
	err := h.await(ctx, reload, failed)
	h.end()
	_ = h.gateway.Close()
	if h.linked.Load() {
		h.peers.Close()
	}
	h.unlisten()
	h.group.Wait()
	h.store.Close()
	logs.With(h.log, logs.Stopped).Info()
	return err
}

// await waits for the end of the service.
func (h *Host) await(ctx context.Context, reload <-chan struct{}, failed <-chan error) error {
	for {
		select {
		case <-ctx.Done():
			h.stop()
			return nil
		case err := <-failed:
			return err
		case <-reload:
			h.reload()
		}
	}
}

// serveHTTP serves a handler until ctx ends.
func serveHTTP(ctx context.Context, ln net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler: handler, ReadTimeout: sideTimeout, WriteTimeout: sideTimeout, IdleTimeout: sideIdle,
		MaxHeaderBytes: sideHead,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve "+ln.Addr().String())
	}
	return nil
}

const (
	// sideTimeout bounds the reading of a question of the balancer or a scrape, and the
	// writing of its answer.
	sideTimeout = 5 * time.Second
	// sideIdle is how long their unused connections are kept: longer than the pauses
	// between scrapes.
	sideIdle = 60 * time.Second
	// sideHead bounds their heads, in bytes.
	sideHead = 16 << 10
)

// ready answers the balancer.
func (h *Host) ready(w http.ResponseWriter, _ *http.Request) {
	if !h.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// isReady reports whether callers are to be sent here.
func (h *Host) isReady() bool {
	_, endpoints := h.follower.EndpointsAge()
	return endpoints && h.gateway.Ruleset() != nil && h.linked.Load() && h.gateway.StoppingSince() == nil
}

// newSecret returns a random secret for the links between the hosts.
func newSecret() string {
	var b [secretBytes]byte
	_, _ = rand.Read(b[:]) // never fails, by the documentation of crypto/rand
	return hex.EncodeToString(b[:])
}

// send queues a message for another host. It returns false for one that was
// dropped.
func (h *Host) send(to ident.Host, m *peerpb.Envelope) bool {
	return h.linked.Load() && h.peers.Send(to, m)
}

// storeReaders returns the hosts that read the store for the others. There are none
// before the links are there.
func (h *Host) storeReaders() []ident.Host {
	if !h.linked.Load() {
		return nil
	}
	return h.hostsOf((*control.Core).StoreReaders)
}

// liveHosts returns the hosts that live.
func (h *Host) liveHosts() []ident.Host {
	if !h.linked.Load() {
		return nil
	}
	return h.hostsOf((*control.Core).LiveHosts)
}

// hostsOf asks control for a list of hosts. It is empty if control is too busy to say.
func (h *Host) hostsOf(list func(*control.Core) []ident.Host) []ident.Host {
	var hosts []ident.Host
	ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	if err := h.loop.Inspect(ctx, func(c *control.Core) { hosts = list(c) }); err != nil {
		return nil
	}
	return hosts
}
