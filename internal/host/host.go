// Package host assembles and runs the process of an entry host.
package host

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/panics"

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
	"github.com/trefoilchute/trefoilchute/internal/report"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/settings"
	"github.com/trefoilchute/trefoilchute/internal/supervise"
	"github.com/trefoilchute/trefoilchute/internal/traffic"
	"github.com/trefoilchute/trefoilchute/internal/watcher"
)

// nonceBytes is the length of a claim's nonce.
const nonceBytes = 16

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
	burn    *report.Collector
	buckets *report.Writer
	trace   *traceFile
	book    *explain.History
	backend *backend

	entryListener net.Listener
	adminListener net.Listener
	group         supervise.Group
	// failed receives the error that ends the process.
	failed chan error
	// life ends with the process's work; end ends it.
	life context.Context
	end  context.CancelFunc
	// superseded ends when a later process of this host's name is seen.
	superseded lifetime
	// stopping says that a planned stop has begun.
	stopping atomic.Bool
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
		failed:      make(chan error, 1),
	}
	h.group.Panicked = h.panicked
	if err := h.listen(); err != nil {
		return nil, err
	}
	h.life, h.end = context.WithCancel(context.Background())
	h.superseded = newLifetime()
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

// lifetime is something that ends once.
type lifetime struct {
	ctx context.Context
	end context.CancelFunc
}

// newLifetime returns a lifetime that has not ended.
func newLifetime() lifetime {
	ctx, end := context.WithCancel(context.Background())
	return lifetime{ctx: ctx, end: end}
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
		Panicked:  h.panicked,
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
	h.loop.Post(control.HostsListed{Hosts: []platform.HostEntry{{
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
		Runner: h.runner, Now: h.loop.Now, OnOutcome: h.observe,
		Metrics: h.metrics.Handler(),
	})
	if h.trace, err = openTrace(h.settings.Trace); err != nil {
		return err
	}
	table, objects := h.metrics.Table(h.client), h.metrics.Objects(h.client)
	h.burn = report.NewCollector(h.settings.Host, h.incarnation, time.Now())
	h.buckets = report.NewWriter(h.burn, objects, h.log)
	store := resource.NewStore(table)
	store.Notify(func(snap *resource.Snapshot) { h.loop.Post(control.ConfigurationChanged{Snapshot: snap}) })
	h.admin = admin.New(h.backend, admin.Options{
		Store: store, Token: h.settings.AdminToken,
		Reports: report.NewReader(h.burn, objects),
	})
	h.loop.Connect(control.Ports{
		Table: table, Objects: objects, Send: h.send, SetPeers: h.peers.SetPeers,
		Traffic: h.runner, Configure: h.configure, Watch: h.watcher.SetEndpoints, Record: h.record,
		HostUnresponsive: h.unresponsive, EndpointLeaving: func(control.LeavingEndpoint) {}, StoreMessage: func(*peerpb.Envelope) {},
		ExecuteOrder: h.orders.Execute, Superseded: h.superseded.end, Dropped: h.eventDropped,
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
	h.burn.Configure(snap)
	h.entry.Configure(snap)
	logs.With(h.log, logs.ConfigurationInForce).WithField("revision", snap.Revision).Info()
}

// Run serves until ctx ends, then stops without cutting a request.
func (h *Host) Run(ctx context.Context) error {
	defer close(h.done)
	defer h.end()
	h.group.Go("control loop", func() { h.loop.Run(h.life) })
	h.group.Go("list of hosts", func() { h.followHostList(h.life) })
	h.group.Go("burn report", func() { h.buckets.Run(h.life) })
	failed := make(chan error, 2)
	h.group.Go("callers", func() { failed <- h.entry.Serve(h.entryListener) })
	h.group.Go("operators", func() { failed <- h.admin.Serve(h.adminListener) })
	logs.With(h.log, logs.Ready).WithFields(logrus.Fields{
		"listen":       h.entryListener.Addr().String(),
		"admin_listen": h.adminListener.Addr().String(), "peer_listen": h.peers.Addr(),
		"domain": h.settings.Domain, "incarnation": h.incarnation,
	}).Info()
	var err error
	select {
	case <-ctx.Done():
		h.stop()
	case <-h.superseded.ctx.Done():
		logs.With(h.log, logs.Superseded).Error()
		h.stop()
	case err = <-failed:
	case err = <-h.failed:
		// What the failed part holds, such as a lock, may keep the others from ending.
		return err
	}
	h.end()
	h.peers.Close()
	h.group.Wait()
	h.client.Close()
	h.trace.close()
	logs.With(h.log, logs.Stopped).Info()
	return err
}

// panicked logs the panic of a part of the process and ends the process, which could not serve without
// that part.
func (h *Host) panicked(part string, r *panics.Recovered) {
	logs.With(h.log, logs.Panicked).WithField("part", part).WithField("stack", string(r.Stack)).
		WithField("reason", fmt.Sprint(r.Value)).Error()
	select {
	case h.failed <- errors.Errorf("host: %s failed: %v", part, r.Value):
	default:
	}
}

// eventDropped logs and counts an event that the control loop has dropped.
func (h *Host) eventDropped(d control.Dropped) {
	h.metrics.EventDropped()
	logs.With(h.log, logs.EventDropped).WithField("event", d.Event).WithField("stack", d.Stack).
		WithField("reason", fmt.Sprint(d.Reason)).Error()
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
