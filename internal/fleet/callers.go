package fleet

import (
	"strings"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool"
)

const (
	// returnTime is how long a caller takes to connect again.
	returnTime = 10 * time.Millisecond
	// returnMark is appended to the ID of a request when its caller returns.
	returnMark = "'"
)

// How says how the caller of a refused request returns.
type How int

// Ways to return.
const (
	// HowNot means that the request wasn't refused.
	HowNot How = iota
	// HowAtOnce means that the caller ignores the time that it is told, HowTold that it
	// returns at that time, and HowCut that the time is longer than a third of the time
	// that the caller has left, after which it returns.
	HowAtOnce
	HowTold
	HowCut
)

// Callers returns once after a refusal, and keeps what each caller got.
type Callers struct {
	// AtOnce is the part of the callers that return at once.
	AtOnce float64
	// Calls holds the calls by the ID of their first request.
	Calls map[ident.Request]*Call
}

// Call is a request with the caller's second attempt, if it made one.
type Call struct {
	Item Item
	How  How
	// patience is when the caller leaves without a first token.
	patience time.Duration
	// First is when the first token arrived, and Served whether the answer was complete
	// and began while the caller waited.
	First  time.Duration
	Served bool
}

// NewCallers returns the callers of a workload.
func NewCallers(items []Item, atOnce float64) *Callers {
	c := &Callers{AtOnce: atOnce, Calls: map[ident.Request]*Call{}}
	for _, item := range items {
		c.Calls[item.Request.ID] = &Call{Item: item, patience: item.Request.Patience}
	}
	return c
}

// OnTime reports whether the first token met the objective of the first attempt.
func (c *Call) OnTime() bool { return c.Served && c.First <= c.Item.Request.FirstDue }

func (c *Callers) call(id ident.Request) *Call {
	first, _, _ := strings.Cut(string(id), returnMark)
	return c.Calls[ident.Request(first)]
}

// Again returns what a refused caller sends next: the same body with a new ID and a fresh
// objective, and what is left of its deadline.
func (c *Callers) Again(now time.Duration, refused Item, e pool.Refuse) (Item, bool) {
	call := c.call(e.ID)
	if call.How != HowNot {
		return Item{}, false
	}
	r := refused.Request
	third := (r.Deadline - now) / 3
	wait := e.RetryAfter
	switch {
	case float64(r.KeyHash%1000)/1000 < c.AtOnce:
		call.How, wait = HowAtOnce, 0
	case wait > third:
		call.How, wait = HowCut, third
	default:
		call.How = HowTold
	}
	at := now + wait + returnTime
	first := call.Item
	r.ID += returnMark
	r.FirstDue = at + first.Request.FirstDue - first.At
	r.Patience = at + first.Request.Patience - first.At
	call.patience, call.First = r.Patience, 0
	return Item{At: at, Request: r, Output: refused.Output}, true
}

// Observe records the answers.
func (c *Callers) Observe(now time.Duration, events []pool.Event, _ []pool.Effect) {
	for _, e := range events {
		switch e := e.(type) {
		case pool.FirstToken:
			c.call(e.ID).First = now
		case pool.Finished:
			call := c.call(e.ID)
			call.Served = e.Outcome == pool.OutcomeCompleted && call.First <= call.patience
		}
	}
}
