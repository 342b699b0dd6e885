package gateway

import (
	"sync"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/system/claim"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
)

// inboxSize is the number of directives that can be queued for one try: a grant, its commit
// and a refusal, and the same again after a grant that was returned.
const inboxSize = 8

// inboxes holds the tries in custody. It delivers control's directives to the goroutines
// that serve the callers.
type inboxes struct {
	mu       sync.Mutex
	channels map[ident.Request]chan custody.Directive
}

func newInboxes() *inboxes {
	return &inboxes{channels: map[ident.Request]chan custody.Directive{}}
}

// add registers a try. It must be called before control is told of the try.
func (t *inboxes) add(id ident.Request) <-chan custody.Directive {
	c := make(chan custody.Directive, inboxSize)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.channels[id] = c
	return c
}

// remove unregisters a try.
func (t *inboxes) remove(id ident.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.channels, id)
}

// Apply implements control.Traffic. It does not block: if a try's inbox is full, the newest
// directive is dropped, and its grant expires.
func (t *inboxes) Apply(d custody.Directive) {
	t.mu.Lock()
	c := t.channels[d.ID]
	t.mu.Unlock()
	if c == nil {
		return
	}
	select {
	case c <- d:
	default:
	}
}

// ReturnAnswer implements control.Traffic. It and the methods below concern idempotency keys, which
// requests on the platform do not carry.
func (t *inboxes) ReturnAnswer(ident.Request, claim.Answer) {}

// Join implements control.Traffic.
func (t *inboxes) Join(control.Join) {}

// RecoverAnswer implements control.Traffic.
func (t *inboxes) RecoverAnswer(control.AnswerRecovery) {}

// Relay implements control.Traffic.
func (t *inboxes) Relay(*peerpb.Envelope) {}
