package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/supervise"
)

// Transport sends and receives messages between this host and the others.
type Transport struct {
	opts     Options
	log      logrus.FieldLogger
	listener net.Listener
	// slots bounds the handshakes of accepted connections.
	slots chan struct{}
	wg    supervise.Group

	refused      atomic.Uint64
	rejected     atomic.Uint64
	dialFailures atomic.Uint64
	silent       atomic.Uint64
	// lastRefusal is when a refusal was last logged, in Unix nanoseconds.
	lastRefusal atomic.Int64

	mu      sync.Mutex
	ctx     context.Context
	cancel  context.CancelFunc
	running bool
	peers   map[ident.Host]*remote
	// conns holds every open connection, so that Close can close them.
	conns map[net.Conn]struct{}
	// hinted holds the seed addresses that are being dialled.
	hinted map[string]struct{}
}

// remote is another host as the transport knows it. Its fields from address on
// belong to Transport.mu.
type remote struct {
	host  ident.Host
	queue *queue
	counters

	address string
	// link is where messages are written; nil when there is none.
	link     *link
	dialing  bool
	failures int
	// retryAt is when the next dial may start after a failed one.
	retryAt time.Time
}

// New returns a transport that isn't started.
func New(opts Options) (*Transport, error) {
	if len(opts.Secret) == 0 {
		return nil, errors.New("peer: empty secret")
	}
	if opts.Host == "" || opts.Domain == "" {
		return nil, errors.New("peer: host and domain must be set")
	}
	if opts.Deliver == nil {
		return nil, errors.New("peer: no Deliver")
	}
	opts = opts.withDefaults()
	return &Transport{
		opts:   opts,
		log:    opts.Logger.WithField("system", "peer"),
		slots:  make(chan struct{}, maxHandshakes),
		peers:  map[ident.Host]*remote{},
		conns:  map[net.Conn]struct{}{},
		hinted: map[string]struct{}{},
		wg:     supervise.Group{Panicked: opts.Panicked},
	}, nil
}

// Start listens and begins to accept links. The transport runs until ctx ends
// or Close is called.
func (t *Transport) Start(ctx context.Context) error {
	listener := t.opts.Listener
	if listener == nil {
		var err error
		if listener, err = new(net.ListenConfig).Listen(ctx, "tcp", t.opts.Listen); err != nil {
			return errors.Wrap(err, "peer: listen")
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listener = listener
	t.ctx, t.cancel = context.WithCancel(ctx)
	t.running = true
	context.AfterFunc(t.ctx, t.shut)
	t.wg.Go("links: accept", t.accept)
	return nil
}

// Addr returns the address that the transport listens on.
func (t *Transport) Addr() string {
	return t.listener.Addr().String()
}

// Close ends every link and waits for the transport's goroutines.
func (t *Transport) Close() {
	t.mu.Lock()
	cancel := t.cancel
	t.mu.Unlock()
	if cancel == nil {
		return
	}
	cancel()
	t.shut()
	t.wg.Wait()
}

// shut stops new work and closes the sockets.
func (t *Transport) shut() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running = false
	_ = t.listener.Close()
	for conn := range t.conns {
		_ = conn.Close()
	}
}

// SetPeers replaces the addresses of the other hosts. A host that is no longer
// named is not dialled again; a link to it lives on until it falls idle.
func (t *Transport) SetPeers(addresses map[ident.Host]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for host, address := range addresses {
		if host == t.opts.Host {
			continue
		}
		r := t.remote(host)
		if r.address != address {
			r.address = address
			r.failures, r.retryAt = 0, time.Time{}
		}
	}
	for host, r := range t.peers {
		if _, ok := addresses[host]; ok {
			continue
		}
		r.address = ""
		if r.link == nil && !r.dialing {
			delete(t.peers, host)
		}
	}
}

// remote returns the entry of a host, made when missing. The caller holds mu.
func (t *Transport) remote(host ident.Host) *remote {
	r := t.peers[host]
	if r == nil {
		r = &remote{host: host, queue: newQueue(t.opts.QueueMessages, t.opts.QueueBytes)}
		t.peers[host] = r
	}
	return r
}

// Hint dials an address whose host isn't known yet. The other side's Hello
// tells its name, and Options.Connected passes it on. An address that a link
// was dialled to already, or that is being dialled, is left alone.
func (t *Transport) Hint(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.running || address == "" || address == t.opts.Listen || t.reached(address) {
		return
	}
	if _, busy := t.hinted[address]; busy {
		return
	}
	t.hinted[address] = struct{}{}
	t.wg.Go("links: dial", func() { t.dialHint(address) })
}

// reached reports whether a link was dialled to the address. The caller holds
// mu.
func (t *Transport) reached(address string) bool {
	for _, r := range t.peers {
		if r.link != nil && (r.address == address || r.link.contact.Address == address) {
			return true
		}
	}
	return false
}

// Send queues a message for a host and returns at once. The message must not
// be changed afterwards; it may be sent to several hosts. From and Incarnation
// may be left empty: the receiver fills them in from the link's Hello. It
// returns false when the message was dropped; Stats tells why.
func (t *Transport) Send(to ident.Host, message *peerpb.Envelope) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.peers[to]
	if r == nil {
		return false
	}
	if reason, ok := t.ready(r); !ok {
		r.drops[reason].Add(1)
		return false
	}
	if reason, ok := r.queue.push(message); !ok {
		r.drops[reason].Add(1)
		return false
	}
	if r.link == nil && !r.dialing {
		t.startDial(r)
	}
	return true
}

// ready reports whether a message for r has a way to go, or why not. The
// caller holds mu.
func (t *Transport) ready(r *remote) (Reason, bool) {
	switch {
	case !t.running:
		return DropClosed, false
	case r.link != nil || r.dialing:
		return 0, true
	case r.address == "":
		return DropUnknown, false
	case time.Now().Before(r.retryAt):
		return DropDown, false
	}
	return 0, true
}

// Stats returns the counters.
func (t *Transport) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	stats := Stats{
		Peers:        make(map[ident.Host]HostStats, len(t.peers)),
		Refused:      t.refused.Load(),
		Rejected:     t.rejected.Load(),
		DialFailures: t.dialFailures.Load(),
		Silent:       t.silent.Load(),
	}
	for host, r := range t.peers {
		if r.link != nil {
			t.countBytes(r, r.link)
		}
		stats.Peers[host] = r.snapshot(r.link != nil)
	}
	return stats
}

// track adds a connection to those that Close closes. It returns false, with
// the connection closed, when the transport is shut already.
func (t *Transport) track(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.running {
		_ = conn.Close()
		return false
	}
	t.conns[conn] = struct{}{}
	return true
}

// untrack closes a connection and forgets it.
func (t *Transport) untrack(conn net.Conn) {
	_ = conn.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, conn)
}
