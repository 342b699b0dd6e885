package peer

import (
	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
)

// Errors of batches. Each ends the link.
var (
	errSender = errors.New("peer: message from another sender than the link's")
	errHello  = errors.New("peer: hello on an open link")
)

// checkBatch tests that every message of a batch comes from the host that
// proved the secret, and fills in senders that were left empty. A message whose
// body this version doesn't know passes with a nil body.
func checkBatch(batch *peerpb.Batch, from Contact) error {
	for _, m := range batch.Messages {
		if m.From != "" && m.From != string(from.Host) {
			return errSender
		}
		if m.Incarnation != 0 && m.Incarnation != from.Incarnation {
			return errSender
		}
		if m.GetHello() != nil {
			return errHello
		}
		m.From = string(from.Host)
		m.Incarnation = from.Incarnation
	}
	return nil
}
