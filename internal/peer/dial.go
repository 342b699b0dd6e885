package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
)

// managerOptions bounds what drpc buffers for a link.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxFrameBytes},
	}
}

// startDial dials a peer in the background. The caller holds mu.
func (t *Transport) startDial(r *remote) {
	r.dialing = true
	address := r.address
	t.wg.Go("links: dial", func() { t.dialPeer(r, address) })
}

// dialPeer dials a known peer and runs the link until it ends.
func (t *Transport) dialPeer(r *remote, address string) {
	err := t.dial(address, r.host)
	if err != nil {
		t.dialFailed(r, err)
	}
}

// dialHint dials an address and runs the link until it ends.
func (t *Transport) dialHint(address string) {
	if err := t.dial(address, ""); err != nil {
		logs.With(t.log, logs.SeedUnreached).WithField("address", address).WithError(err).Debug()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.hinted, address)
}

// dial connects to an address, shakes hands and runs the link until it ends.
// It returns an error when no link came about. When want is not empty, the
// host that answers must have that name.
func (t *Transport) dial(address string, want ident.Host) error {
	dialer := net.Dialer{Timeout: t.opts.Handshake}
	raw, err := dialer.DialContext(t.ctx, "tcp", address)
	if err != nil {
		t.dialFailures.Add(1)
		return errors.Wrap(err, "peer: dial")
	}
	if !t.track(raw) {
		return errors.New("peer: closed")
	}
	defer t.untrack(raw)
	conn := newLiveConn(raw, t.opts.Silence)
	rpc := drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()})
	defer func() { _ = rpc.Close() }()

	l, err := t.openLink(rpc, conn, address, want)
	if err != nil {
		return err
	}
	t.run(l)
	return nil
}

// openLink opens the stream and shakes hands within the handshake's bound.
func (t *Transport) openLink(rpc *drpcconn.Conn, conn *liveConn, address string, want ident.Host) (*link, error) {
	bound := time.AfterFunc(t.opts.Handshake, func() { _ = conn.Close() })
	defer bound.Stop()
	stream, err := peerpb.NewDRPCPeerClient(rpc).Link(context.WithoutCancel(t.ctx))
	if err != nil {
		return nil, errors.Wrap(err, "peer: open link")
	}
	contact, err := t.greetAsDialer(stream)
	if err == nil && want != "" && contact.Host != want {
		err = errWrongHost
	}
	if err != nil {
		t.refuse(conn, err)
		return nil, err
	}
	contact.Address = address
	return newLink(contact, conn, stream, true), nil
}

// dialFailed puts off the next dial and drops what waited for this one.
func (t *Transport) dialFailed(r *remote, err error) {
	t.mu.Lock()
	r.dialing = false
	if r.link != nil {
		t.mu.Unlock()
		return
	}
	r.failures++
	wait := t.backoff(r.failures)
	r.retryAt = time.Now().Add(wait)
	r.drops[DropDown].Add(uint64(r.queue.clear()))
	failures := r.failures
	t.mu.Unlock()
	if failures == 1 {
		logs.With(t.log, logs.PeerUnreached).WithField("peer", r.host).
			WithField("retry", wait).WithError(err).Warn()
	}
}

// backoff returns the wait after a number of failures in a row: doubled each
// time up to the bound, and between half and the whole of that at random.
func (t *Transport) backoff(failures int) time.Duration {
	wait := t.opts.BackoffMin
	for i := 1; i < failures && wait < t.opts.BackoffMax; i++ {
		wait *= 2
	}
	wait = min(wait, t.opts.BackoffMax)
	half := wait / 2
	return half + rand.N(half+1)
}
