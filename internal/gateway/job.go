package gateway

import (
	"sync"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/system/claim"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
)

// jobDirectives is how many directives may wait for one try: a grant, its commit
// and a refusal, and again after a grant that was given back.
const jobDirectives = 8

// jobs is the table of tries in custody. It takes control's directives to the
// goroutines that serve the callers.
type jobs struct {
	mu   sync.Mutex
	rows map[ident.Request]chan custody.Directive
}

func newJobs() *jobs {
	return &jobs{rows: map[ident.Request]chan custody.Directive{}}
}

// add makes a try known. It is to be called before control hears of it.
func (t *jobs) add(id ident.Request) <-chan custody.Directive {
	c := make(chan custody.Directive, jobDirectives)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[id] = c
	return c
}

// remove forgets a try.
func (t *jobs) remove(id ident.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rows, id)
}

// Apply implements control.Traffic. It doesn't block: a try that is so slow to
// take its directives loses the newest, and its grant lapses.
func (t *jobs) Apply(d custody.Directive) {
	t.mu.Lock()
	c := t.rows[d.ID]
	t.mu.Unlock()
	if c == nil {
		return
	}
	select {
	case c <- d:
	default:
	}
}

// ReturnAnswer, Join, Rescue and Relay implement control.Traffic. They concern keys,
// which requests on the platform don't carry.
func (t *jobs) ReturnAnswer(ident.Request, claim.Answer) {}

// Join implements control.Traffic.
func (t *jobs) Join(control.Join) {}

// RecoverAnswer implements control.Traffic.
func (t *jobs) RecoverAnswer(control.AnswerRecovery) {}

// Relay implements control.Traffic.
func (t *jobs) Relay(*peerpb.Envelope) {}
