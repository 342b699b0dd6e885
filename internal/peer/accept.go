package peer

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
)

// Pauses of the accepting side.
const (
	// acceptRetry is the pause after a failed accept, for example when the
	// process is out of file descriptors.
	acceptRetry = 100 * time.Millisecond
	// refusalLogInterval is the least time between log lines about refusals.
	refusalLogInterval = time.Second
)

// errBusy refuses connections beyond maxHandshakes.
var errBusy = errors.New("peer: too many handshakes at once")

// accept takes connections until the listener is closed.
func (t *Transport) accept() {
	for {
		raw, err := t.listener.Accept()
		if err != nil {
			if t.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			logs.With(t.log, logs.AcceptFailed).WithError(err).Warn()
			time.Sleep(acceptRetry)
			continue
		}
		t.admit(raw)
	}
}

// admit serves a connection when a handshake slot is free.
func (t *Transport) admit(raw net.Conn) {
	select {
	case t.slots <- struct{}{}:
	default:
		t.refuse(raw, errBusy)
		_ = raw.Close()
		return
	}
	if !t.track(raw) {
		<-t.slots
		return
	}
	t.wg.Go("links: serve", func() { t.serve(raw) })
}

// serve runs the one link of an accepted connection.
func (t *Transport) serve(raw net.Conn) {
	defer t.untrack(raw)
	a := &acceptor{transport: t, conn: newLiveConn(raw, t.opts.Silence)}
	a.bound = time.AfterFunc(t.opts.Handshake, func() { _ = raw.Close() })
	defer a.greeted()
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, a); err != nil {
		t.log.WithError(err).Error("peer service not registered")
		return
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	// The link's end closes the connection, and with it this call.
	err := server.ServeOne(context.WithoutCancel(t.ctx), a.conn)
	if !a.reached {
		t.refuse(raw, errors.Wrap(err, "peer: no link opened"))
	}
}

// acceptor is the peer service of one accepted connection.
type acceptor struct {
	transport *Transport
	conn      *liveConn
	// bound ends a handshake that takes too long.
	bound *time.Timer
	// reached is set when the Link call came; released once its slot was given
	// back. Both belong to the goroutine that serves the connection.
	reached  bool
	released bool
}

// greeted ends the handshake: its time bound is lifted and its slot is free.
func (a *acceptor) greeted() {
	a.bound.Stop()
	if !a.released {
		a.released = true
		<-a.transport.slots
	}
}

// Link shakes hands and runs the link. A connection carries one link: it is
// closed when Link returns.
func (a *acceptor) Link(stream peerpb.DRPCPeer_LinkStream) error {
	defer func() { _ = a.conn.Close() }()
	if a.reached {
		return errors.New("peer: second link on a connection")
	}
	a.reached = true
	contact, err := a.transport.greetAsAcceptor(stream)
	a.greeted()
	if err != nil {
		a.transport.refuse(a.conn, err)
		return err
	}
	a.transport.run(newLink(contact, a.conn, stream, false))
	return nil
}

// refuse counts a connection that did not become a link, and logs it at most
// once in refusalLogInterval.
func (t *Transport) refuse(conn net.Conn, cause error) {
	total := t.refused.Add(1)
	now := time.Now().UnixNano()
	last := t.lastRefusal.Load()
	if now-last < int64(refusalLogInterval) || !t.lastRefusal.CompareAndSwap(last, now) {
		return
	}
	logs.With(t.log, logs.LinkRefused).WithField("remote", conn.RemoteAddr().String()).
		WithField("refused", total).WithError(cause).Warn()
}
