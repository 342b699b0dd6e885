// Package peer carries messages between entry hosts. A pair of hosts that has
// something to say shares one long-lived drpc stream over TCP, opened when the
// first message is sent and closed after a time without messages. Messages are
// written in batches: whatever is ready when the writer writes.
//
// Delivery is best effort. Send never blocks; a message that can't be queued
// is dropped and counted with its reason, and a link that breaks loses what
// was being written. The systems above resend what matters to them.
package peer

import (
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/panics"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
)

// Limits of a link.
const (
	// MaxMessageBytes is the largest encoded Envelope that Send accepts.
	MaxMessageBytes = 1 << 20
	// maxFrameBytes is the largest encoded Batch that a host reads: a full
	// batch and the frame round it.
	maxFrameBytes = MaxMessageBytes + maxBatchBytes + 1<<12
	// maxBatchBytes ends a batch that has reached it.
	maxBatchBytes = 256 << 10
	// maxBatchMessages bounds the messages of a batch.
	maxBatchMessages = 1024
	// maxHandshakes bounds accepted connections that have not proved the
	// secret yet.
	maxHandshakes = 128
)

// Defaults of Options.
const (
	// DefaultKeepalive is the time without a write after which an empty batch
	// is written.
	DefaultKeepalive = time.Second
	// DefaultSilence is the time without received bytes after which a link is
	// dead.
	DefaultSilence = 3 * time.Second
	// DefaultIdle is the time without messages after which a link is closed. It is longer than
	// the intervals of periodic messages. An idle link costs both hosts a keepalive a second,
	// opening one again a few round trips.
	DefaultIdle = 15 * time.Second
	// DefaultHandshake bounds dialling and the handshake, each.
	DefaultHandshake = 2 * time.Second
	// DefaultBackoffMin and DefaultBackoffMax bound the wait between failed
	// dials.
	DefaultBackoffMin = 50 * time.Millisecond
	DefaultBackoffMax = 2 * time.Second
	// DefaultQueueMessages and DefaultQueueBytes bound the messages waiting for
	// one peer.
	DefaultQueueMessages = 8192
	DefaultQueueBytes    = 8 << 20
)

// Contact is a host that has proved the secret over a link.
type Contact struct {
	Host        ident.Host
	Incarnation uint64
	Domain      ident.Domain
	// Address is the address that was dialled; empty on an accepted link.
	Address string
}

// Options configures a Transport. Durations and sizes that are 0 get the
// defaults.
type Options struct {
	Host        ident.Host
	Incarnation uint64
	Domain      ident.Domain
	// Listen is the IP address and port to accept links on.
	Listen string
	// Listener, when set, is open on Listen already.
	Listener net.Listener
	// Secret is shared by all entry hosts. It must not be empty.
	Secret []byte
	// Deliver takes a received message with its sender filled in. It is called
	// from several goroutines and should return soon: while it runs, no more is
	// read from that peer.
	Deliver func(*peerpb.Envelope)
	// Connected, when set, is told of each new link.
	Connected func(Contact)
	// Sent, when set, is told of each message that was written: its kind, see peerpb.Kind, and
	// its encoded size. It is called from several goroutines and must return at once.
	Sent func(to ident.Host, kind, bytes int)
	// Panicked is called if a goroutine of the transport panicked; see supervise.Group.
	Panicked func(part string, r *panics.Recovered)
	Logger   logrus.FieldLogger

	Keepalive     time.Duration
	Silence       time.Duration
	Idle          time.Duration
	Handshake     time.Duration
	BackoffMin    time.Duration
	BackoffMax    time.Duration
	QueueMessages int
	QueueBytes    int
}

// withDefaults returns o with the unset durations and sizes filled in.
func (o Options) withDefaults() Options {
	setDuration(&o.Keepalive, DefaultKeepalive)
	setDuration(&o.Silence, DefaultSilence)
	setDuration(&o.Idle, DefaultIdle)
	setDuration(&o.Handshake, DefaultHandshake)
	setDuration(&o.BackoffMin, DefaultBackoffMin)
	setDuration(&o.BackoffMax, DefaultBackoffMax)
	if o.QueueMessages == 0 {
		o.QueueMessages = DefaultQueueMessages
	}
	if o.QueueBytes == 0 {
		o.QueueBytes = DefaultQueueBytes
	}
	if o.Logger == nil {
		o.Logger = logrus.StandardLogger()
	}
	return o
}

// setDuration sets an unset duration.
func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
