package peer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/supervise"
)

// retireGrace is how long a link that gave way to another is still read, so
// that what its other side had already written arrives.
const retireGrace = time.Second

// link is one proved stream to a peer.
type link struct {
	contact Contact
	conn    *liveConn
	stream  batchStream
	// dialled says that this host opened the connection.
	dialled bool
	opened  time.Time
	// quit is closed when nothing more is to be written.
	quit chan struct{}
	stop sync.Once
	// lastMessage is when a message last went either way, in nanoseconds since
	// opened.
	lastMessage atomic.Int64
	// counted holds the bytes already added to the peer's counters. It belongs
	// to Transport.mu.
	countedRead    uint64
	countedWritten uint64
}

// newLink returns a link that isn't running.
func newLink(contact Contact, conn *liveConn, stream batchStream, dialled bool) *link {
	return &link{
		contact: contact,
		conn:    conn,
		stream:  stream,
		dialled: dialled,
		opened:  time.Now(),
		quit:    make(chan struct{}),
	}
}

// touch notes that a message went over the link.
func (l *link) touch() {
	l.lastMessage.Store(int64(time.Since(l.opened)))
}

// idle returns the time since a message last went over the link.
func (l *link) idle() time.Duration {
	return time.Since(l.opened) - time.Duration(l.lastMessage.Load())
}

// end stops the writer and closes the connection.
func (l *link) end() {
	l.stop.Do(func() { close(l.quit) })
	_ = l.conn.Close()
}

// retire stops the writer and closes the connection after retireGrace.
func (l *link) retire() {
	l.stop.Do(func() { close(l.quit) })
	time.AfterFunc(retireGrace, func() { _ = l.conn.Close() })
}

// run attaches a link to its peer and serves it until it ends.
func (t *Transport) run(l *link) {
	r, ok := t.attach(l)
	if !ok {
		return
	}
	log := t.log.WithField("peer", l.contact.Host).WithField("peer_incarnation", l.contact.Incarnation)
	logs.With(log, logs.LinkUp).WithField("dialled", l.dialled).Info()
	if t.opts.Connected != nil {
		t.opts.Connected(l.contact)
	}
	wg := supervise.Group{Panicked: t.opts.Panicked}
	wg.Go("links: write", func() { t.write(r, l) })
	err := t.read(r, l)
	l.end()
	wg.Wait()
	t.detach(r, l)
	logs.With(log, logs.LinkDown).WithError(err).Info()
}

// attach makes a new link its peer's link, unless another takes precedence. It
// returns false when the link must not be used at all.
func (t *Transport) attach(l *link) (*remote, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.running {
		return nil, false
	}
	r := t.remote(l.contact.Host)
	if l.dialled {
		r.dialing = false
	}
	old := r.link
	switch {
	case old == nil:
		r.link = l
	case l.contact.Incarnation < old.contact.Incarnation:
		return nil, false
	case l.contact.Incarnation > old.contact.Incarnation:
		old.end()
		r.link = l
	case t.precedes(l, old):
		old.retire()
		r.link = l
	default:
		l.retire()
	}
	r.queue.signal()
	return r, true
}

// precedes chooses between two links to the same incarnation of a peer. Both
// hosts choose the same one when they dialled each other at the same moment:
// the link that the host with the smaller name dialled. A link of the same
// direction replaces an older one, since its dialler has given that one up; so
// does any link when the older has gone quiet.
func (t *Transport) precedes(l, old *link) bool {
	if l.dialled == old.dialled || old.conn.quiet() > 2*t.opts.Keepalive {
		return true
	}
	ownFirst := t.opts.Host < l.contact.Host
	return l.dialled == ownFirst
}

// detach removes an ended link from its peer. What is still queued goes out on
// a new link.
func (t *Transport) detach(r *remote, l *link) {
	if l.conn.silent.Load() {
		t.silent.Add(1)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.countBytes(r, l)
	if r.link != l {
		return
	}
	r.link = nil
	if time.Since(l.opened) >= t.opts.BackoffMax {
		r.failures, r.retryAt = 0, time.Time{}
	} else {
		r.failures++
		r.retryAt = time.Now().Add(t.backoff(r.failures))
	}
	if r.queue.empty() || r.dialing {
		return
	}
	if reason, ok := t.ready(r); !ok {
		r.drops[reason].Add(uint64(r.queue.clear()))
		return
	}
	t.startDial(r)
}

// countBytes adds what passed the link's socket since the last call to its
// peer's counters. The caller holds mu.
func (t *Transport) countBytes(r *remote, l *link) {
	read, written := l.conn.read.Load(), l.conn.written.Load()
	r.bytesReceived.Add(read - l.countedRead)
	r.bytesSent.Add(written - l.countedWritten)
	l.countedRead, l.countedWritten = read, written
}

// write sends what is queued, in batches, and an empty batch when there was
// nothing to send for the keepalive time. It ends the link when it is idle.
func (t *Transport) write(r *remote, l *link) {
	keepalive := time.NewTimer(t.opts.Keepalive)
	defer keepalive.Stop()
	for {
		select {
		case <-l.quit:
			return
		case <-r.queue.ready:
			if !t.writeBatch(r, l, false) {
				return
			}
		case <-keepalive.C:
			if l.idle() > t.opts.Idle {
				l.end()
				return
			}
			if !t.writeBatch(r, l, true) {
				return
			}
		}
		keepalive.Reset(t.opts.Keepalive)
	}
}

// writeBatch writes one batch. An empty one is written only as a keepalive. It
// returns false when the link is not to be written any more.
func (t *Transport) writeBatch(r *remote, l *link, keepalive bool) bool {
	select {
	case <-l.quit:
		// The token is passed on to the link that follows.
		r.queue.signal()
		return false
	default:
	}
	messages, sizes := r.queue.pop()
	if len(messages) == 0 && !keepalive {
		return true
	}
	if err := l.stream.Send(&peerpb.Batch{Messages: messages}); err != nil {
		r.drops[DropBroken].Add(uint64(len(messages)))
		l.end()
		return false
	}
	if len(messages) > 0 {
		l.touch()
		r.messagesSent.Add(uint64(len(messages)))
		r.batchesSent.Add(1)
	}
	if t.opts.Sent != nil {
		for i, m := range messages {
			t.opts.Sent(l.contact.Host, peerpb.Kind(m), sizes[i])
		}
	}
	return true
}

// read delivers what comes until the link ends or breaks the protocol.
func (t *Transport) read(r *remote, l *link) error {
	for {
		batch, err := l.stream.Recv()
		if err != nil {
			return errors.Wrap(err, "peer: read")
		}
		if err := checkBatch(batch, l.contact); err != nil {
			t.rejected.Add(1)
			return err
		}
		if len(batch.Messages) == 0 {
			continue
		}
		l.touch()
		r.batchesReceived.Add(1)
		r.messagesReceived.Add(uint64(len(batch.Messages)))
		for _, message := range batch.Messages {
			if message.Body != nil {
				t.opts.Deliver(message)
			}
		}
	}
}
