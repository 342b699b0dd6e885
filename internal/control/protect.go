package control

import (
	"fmt"
	"time"

	"github.com/sourcegraph/conc/panics"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
)

const (
	// restartInterval is the least time between two restarts of the schedulers after a panic. A
	// take-over takes up to 300 ms.
	restartInterval = 1 * time.Second
	// maxDropsInRow is the number of events dropped in a row after which the control state counts as
	// unusable.
	maxDropsInRow = 256
)

// Dropped describes an event whose handling panicked. It was dropped: a request that every scheduler
// panics on would otherwise end one host after the other, as its custodian passes it on.
type Dropped struct {
	// Event is the type of the event, with the sender of a message.
	Event  string
	Reason any
	Stack  string
}

// protect runs f, which handles an event. It reports false if f panicked; the event is dropped then.
func (c *Core) protect(event func() string, f func()) bool {
	r := panics.Try(f)
	if r != nil {
		c.effects.Dropped = append(c.effects.Dropped, Dropped{Event: event(), Reason: r.Value, Stack: string(r.Stack)})
	}
	return r == nil
}

// applyProtected applies an event and refuses its request if that panics. It panics itself if too many
// events in a row do.
func (c *Core) applyProtected(e Event) {
	before := len(c.effects.Dropped)
	defer func() {
		if len(c.effects.Dropped) == before {
			c.dropsInRow = 0
		} else if c.dropsInRow++; c.dropsInRow >= maxDropsInRow {
			panic(fmt.Sprintf("control: %d events in a row panicked", c.dropsInRow))
		}
	}()
	ok := c.protect(func() string { return fmt.Sprintf("%T", e) }, func() {
		c.apply(e)
		c.propagate()
	})
	if arrived, isArrival := e.(Arrived); !ok && isArrival {
		id := arrived.Arrival.ID
		c.custody.Forget(id)
		delete(c.keyed, id)
		c.effects.Directives = append(c.effects.Directives, custody.Directive{Kind: custody.Refuse, ID: id, Err: droppedError()})
	}
}

// receiveProtected handles a message. If that panics, a submitted request is refused, so that its
// custodian doesn't submit it to the next scheduler, and the schedulers start anew.
func (c *Core) receiveProtected(m *peerpb.Envelope) {
	c.handleProtected(m, c.receive)
}

// handleProtected is receiveProtected with a handler.
func (c *Core) handleProtected(m *peerpb.Envelope, handle func(*peerpb.Envelope)) {
	describe := func() string { return fmt.Sprintf("%T from %s", m.GetBody(), m.GetFrom()) }
	if c.protect(describe, func() { handle(m) }) {
		return
	}
	if submit := m.GetSubmit(); submit != nil {
		refusal := droppedError()
		c.out.Send(ident.Host(m.GetFrom()), peerpb.Wrap(&peerpb.Envelope_Refuse{Refuse: &peerpb.Refuse{
			Request: submit.GetRequest(), Target: submit.GetTarget(), Domain: submit.GetDomain(),
			Code: int32(refusal.Code), Reason: refusal.Reason, RetryAfterUs: refusal.RetryAfter.Microseconds(),
		}}))
	}
	c.restartSchedulers()
}

// tickSchedulers runs the schedulers' timers. If that panics, the schedulers start anew.
func (c *Core) tickSchedulers() {
	if c.restartDue {
		c.restartSchedulers()
	}
	if c.restartDue {
		return
	}
	if !c.protect(func() string { return "timers of the schedulers" }, func() { c.scheduling.Tick(c.now, &c.out) }) {
		c.restartSchedulers()
	}
}

// restartSchedulers gives up the state of the pools scheduled here, which a panic may have left
// inconsistent. It is restored from the custodians' holdings, as after a take-over. If the last restart
// was shortly before, it only makes the next one due.
func (c *Core) restartSchedulers() {
	if c.restartDue = c.restartedAt > 0 && c.now < c.restartedAt+restartInterval; c.restartDue {
		return
	}
	c.restartedAt = max(1, c.now)
	c.scheduling.Restart(c.now, &c.out)
}

// droppedError returns the refusal of a request that can't be scheduled because of a fault of the
// program. It has not run. Sending it again would meet the same fault.
func droppedError() *result.Error {
	return result.New(result.Internal, "a fault of the program prevents that the request is scheduled")
}
