package peer

import (
	"sync/atomic"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

// Reason says why a message was dropped or a link refused.
type Reason int

// Reasons for dropping a message.
const (
	// DropUnknown: no address of the peer is known.
	DropUnknown Reason = iota
	// DropDown: the last dial failed and the next isn't due yet.
	DropDown
	// DropFull: the peer's queue is full.
	DropFull
	// DropTooLarge: the message is larger than MaxMessageBytes.
	DropTooLarge
	// DropBroken: the link broke while the message was queued or being written.
	DropBroken
	// DropClosed: the transport is closed.
	DropClosed
	numReasons
)

// String returns the reason's name in logs and metrics.
func (r Reason) String() string {
	return [...]string{"unknown_peer", "peer_down", "queue_full", "too_large", "link_broken", "closed"}[r]
}

// HostStats counts what went between this host and one peer.
type HostStats struct {
	Connected        bool
	MessagesSent     uint64
	MessagesReceived uint64
	BatchesSent      uint64
	BatchesReceived  uint64
	// BytesSent and BytesReceived count what passed the sockets.
	BytesSent     uint64
	BytesReceived uint64
	// Drops counts dropped messages by reason.
	Drops map[Reason]uint64
}

// Stats is a snapshot of a transport's counters.
type Stats struct {
	Peers map[ident.Host]HostStats
	// Refused counts connections that did not become links: a wrong secret, a
	// malformed Hello, another host than expected, too many at once.
	Refused uint64
	// Rejected counts links closed over a batch that broke the protocol.
	Rejected uint64
	// DialFailures counts dials that did not reach a handshake.
	DialFailures uint64
	// Silent counts links closed because nothing was received in time.
	Silent uint64
}

// counters is the live form of HostStats.
type counters struct {
	messagesSent     atomic.Uint64
	messagesReceived atomic.Uint64
	batchesSent      atomic.Uint64
	batchesReceived  atomic.Uint64
	bytesSent        atomic.Uint64
	bytesReceived    atomic.Uint64
	drops            [numReasons]atomic.Uint64
}

// snapshot reads the counters.
func (c *counters) snapshot(connected bool) HostStats {
	drops := make(map[Reason]uint64)
	for reason := range numReasons {
		if n := c.drops[reason].Load(); n > 0 {
			drops[reason] = n
		}
	}
	return HostStats{
		Connected:        connected,
		MessagesSent:     c.messagesSent.Load(),
		MessagesReceived: c.messagesReceived.Load(),
		BatchesSent:      c.batchesSent.Load(),
		BatchesReceived:  c.batchesReceived.Load(),
		BytesSent:        c.bytesSent.Load(),
		BytesReceived:    c.bytesReceived.Load(),
		Drops:            drops,
	}
}
