package order

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilchute/trefoilchute/internal/engine"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/system/lease"
)

// Bounds of one endpoint's steps.
const (
	// refreshInterval is the least time between reads of a state that is as
	// declared; refreshSpread is the most that is added to it, so that the
	// endpoints aren't all read at once.
	refreshInterval = time.Minute
	refreshSpread   = 15 * time.Second
	// settleInterval is the time between reads while an order isn't settled.
	settleInterval = time.Second
	firstRetry     = time.Second
	lastRetry      = 30 * time.Second
	maxDoublings   = 5
	// maxRaise bounds how far an endpoint can raise the fencing number.
	maxRaise = 1 << 20
	// foreignShown is how long a foreign order stays in the conditions.
	foreignShown = time.Hour
)

// idPrefix begins the id of each order of this system.
const idPrefix = "trefoilchute/"

// ForeignUnidentified stands for a change of an endpoint's state that came
// without an order that the endpoint can name.
const ForeignUnidentified = "unidentified"

// endpoint is one endpoint with its declared orders.
type endpoint struct {
	name    ident.Endpoint
	address string
	fencing resource.Fencing
	refresh time.Duration
	// orders are those to apply, by name; overruled maps the others to the
	// order that rules them out.
	orders    []resource.Order
	overruled map[string]string

	// state is the last state read; nil while it is not known. readFrom is
	// when the read was sent. fresh says that no order was sent since.
	state    *engine.State
	readFrom time.Duration
	fresh    bool
	// unsettled is the order that may yet take effect, or nil.
	unsettled *sent
	// reserved is the order that the weight store gave leave for.
	reserved resource.Order

	// busy says that an effect has no event yet; awaitsLease, that only the
	// lease keeps the endpoint waiting. notBefore is when to go on otherwise.
	busy        bool
	awaitsLease bool
	notBefore   time.Duration
	// tries counts the orders in a row that did not lead to the state that is
	// declared; unread, the reads that failed in a row.
	tries  int
	unread int

	// current is the order that status, reason and detail are about; empty if
	// they are about all orders.
	current string
	status  Status
	reason  Reason
	detail  string
	// foreign is the last change by somebody else, and foreignAt when it was
	// seen.
	foreign   string
	foreignAt time.Duration
}

// sent is an order that was sent and is not settled.
type sent struct {
	id    string
	order resource.Order
	fence uint64
	// lost says that its answer was lost.
	lost bool
	// until is when it can't take effect any more.
	until time.Duration
}

// configure sets the declared resources.
func (e *endpoint) configure(declared resource.Endpoint, orders []resource.Order) {
	if declared.Name != "" {
		e.name = declared.Name
		e.address = declared.Address
		e.fencing = declared.Fencing
		spread := xxhash.Sum64String(string(e.name)) % uint64(refreshSpread)
		e.refresh = refreshInterval + time.Duration(spread)
	}
	kept, overruled := resolve(orders)
	if !slices.Equal(kept, e.orders) {
		e.notBefore = 0
		e.tries = 0
	}
	e.orders = kept
	e.overruled = overruled
	if e.status == "" {
		e.report("", Waiting, ReadingState, "")
	}
}

// report sets what the conditions say.
func (e *endpoint) report(current string, status Status, reason Reason, detail string) {
	e.current = current
	e.status = status
	e.reason = reason
	e.detail = detail
}

// next returns the first order that the state doesn't satisfy.
func (e *endpoint) next() (resource.Order, bool) {
	if e.state == nil {
		return resource.Order{}, false
	}
	for _, o := range e.orders {
		if !satisfied(o, *e.state) {
			return o, true
		}
	}
	return resource.Order{}, false
}

// wantsLease reports whether there is an order to send.
func (e *endpoint) wantsLease() bool {
	_, ok := e.next()
	return ok
}

// nextWake returns when the endpoint goes on without an event or the lease.
func (e *endpoint) nextWake(s *System) (time.Duration, bool) {
	if e.busy || e.awaitsLease || (!s.mine && e.unsettled == nil) {
		return 0, false
	}
	return e.notBefore, true
}

// step does the one thing that comes next for the endpoint, if it is due.
func (e *endpoint) step(s *System, now time.Duration) {
	e.awaitsLease = false
	if e.busy || now < e.notBefore || (!s.mine && e.unsettled == nil) {
		return
	}
	if !e.fresh || now >= e.readFrom+e.refresh {
		e.read(s, now)
		return
	}
	o, ok := e.next()
	if e.unsettled != nil && !e.resendable(s, now, o) {
		e.fresh = false
		e.notBefore = min(e.unsettled.until, now+settleInterval)
		return
	}
	if !ok {
		e.tries = 0
		e.report("", Applied, AsDeclared, "")
		e.notBefore = e.readFrom + e.refresh
		return
	}
	e.prepare(s, now, o)
}

// resendable reports whether the order that isn't settled may be sent again:
// under the same id and fencing number it takes effect once.
func (e *endpoint) resendable(s *System, now time.Duration, o resource.Order) bool {
	grant, held := s.lease.Held(now)
	u := e.unsettled
	return s.mine && u.lost && held && u.order == o && u.fence == grant.Fence
}

// prepare sees to it that an order may be sent, and sends it.
func (e *endpoint) prepare(s *System, now time.Duration, o resource.Order) {
	grant, held := s.lease.Held(now)
	if !held || !s.mine {
		e.awaitsLease = true
		e.report(o.Name, Waiting, NoLease, "")
		return
	}
	if now < e.quiet(grant) {
		e.notBefore = e.quiet(grant)
		e.report(o.Name, Waiting, EarlierHolder, "")
		return
	}
	if e.readFrom < e.quiet(grant) {
		e.read(s, now)
		return
	}
	if needsWeights(o) && e.reserved != o {
		e.reserve(s, o)
		return
	}
	e.send(s, now, o, grant)
}

// quiet returns when orders of earlier holders can't take effect any more. An
// endpoint that enforces fencing refuses them from the first order of this
// holder on.
func (e *endpoint) quiet(grant lease.Grant) time.Duration {
	if e.fencing == resource.FencingEnforced {
		return grant.Since
	}
	return grant.SafeAt
}

func (e *endpoint) read(s *System, now time.Duration) {
	e.busy = true
	e.readFrom = now
	s.emit(e, func(token uint64) Effect {
		return ReadState{Token: token, Endpoint: e.name, Address: e.address}
	})
}

func (e *endpoint) reserve(s *System, o resource.Order) {
	e.busy = true
	e.current = o.Name
	s.emit(e, func(token uint64) Effect {
		return ReserveWeights{Token: token, Name: o.Value}
	})
}

func (e *endpoint) send(s *System, now time.Duration, o resource.Order, grant lease.Grant) {
	if e.unsettled == nil {
		s.serial++
		id := fmt.Sprintf("%s%s/%d.%d", idPrefix, o.Name, grant.Fence, s.serial)
		e.unsettled = &sent{id: id, order: o, fence: grant.Fence}
	}
	e.unsettled.until = now + s.cfg.MaxOrderTime
	e.fresh = false
	e.busy = true
	e.report(o.Name, Waiting, Sent, "")
	s.emit(e, func(token uint64) Effect {
		return SendOrder{
			Token:    token,
			Endpoint: e.name,
			Address:  e.address,
			Order: engine.Order{
				ID:     e.unsettled.id,
				Fence:  grant.Fence,
				Action: string(o.Action),
				Value:  o.Value,
			},
			NotAfter: grant.Until,
		}
	})
}

// event takes the result of the endpoint's effect.
func (e *endpoint) event(s *System, now time.Duration, event Event) {
	e.busy = false
	switch event := event.(type) {
	case StateRead:
		e.stateRead(s, now, event)
	case OrderResult:
		e.orderDone(s, now, event)
	case WeightsReserved:
		e.weightsReserved(now, event)
	}
}

// stateRead takes the endpoint's state and settles the order before it.
func (e *endpoint) stateRead(s *System, now time.Duration, r StateRead) {
	if r.Err != nil {
		e.state = nil
		e.fresh = false
		e.report("", Failed, Unreachable, r.Err.Error())
		e.wait(now, e.unread)
		e.unread++
		e.expire()
		return
	}
	before := e.state
	e.state = &r.State
	e.fresh = true
	e.unread = 0
	e.notBefore = now
	e.watch(now, before)
	if u := e.unsettled; u != nil && r.State.LastOrder == u.id {
		e.unsettled = nil
	}
	e.expire()
	e.raise(s, now)
}

// raise has the fencing number pass the one that the endpoint has seen, after
// the lease's row was lost. A number that is out of all proportion is left for
// the operator to see as StaleFence.
func (e *endpoint) raise(s *System, now time.Duration) {
	grant, held := s.lease.Held(now)
	seen := e.state.Fence
	if held && seen > grant.Fence && seen-grant.Fence < maxRaise {
		s.lease.RaiseFence(now, seen+1)
	}
}

// expire settles an order that can't take effect any more: the last read was
// sent after it could.
func (e *endpoint) expire() {
	if e.unsettled != nil && e.readFrom >= e.unsettled.until {
		e.unsettled = nil
	}
}

// watch looks for changes of the state that no order of this system made.
func (e *endpoint) watch(now time.Duration, before *engine.State) {
	if e.foreign != "" && now >= e.foreignAt+foreignShown {
		e.foreign = ""
	}
	last := e.state.LastOrder
	if last != "" && !strings.HasPrefix(last, idPrefix) {
		e.foreign = last
		e.foreignAt = now
		return
	}
	if before == nil || before.Boot != e.state.Boot || before.LastOrder != last {
		return
	}
	for _, o := range e.orders {
		if satisfied(o, *before) && !satisfied(o, *e.state) {
			e.foreign = ForeignUnidentified
			e.foreignAt = now
		}
	}
}

// orderDone takes the result of an order. All outcomes but Taken and Lost are
// final: the order has no effect.
func (e *endpoint) orderDone(s *System, now time.Duration, d OrderResult) {
	name := e.unsettled.order.Name
	switch d.Outcome {
	case Accepted:
		e.reserved = resource.Order{}
		e.notBefore = now
	case Ambiguous:
		e.unsettled.lost = true
		e.unsettled.until = now + s.cfg.MaxOrderTime
		e.report(name, Waiting, AnswerLost, d.Detail)
		e.retry(now)
	case Unsent:
		e.unsettled = e.lostBefore()
		e.report(name, Waiting, NotSent, d.Detail)
		e.retry(now)
	case Stale:
		e.unsettled = e.lostBefore()
		s.lease.Invalidate(now)
		e.report(name, Failed, StaleFence, d.Detail)
		e.retry(now)
	case Rejected:
		e.unsettled = nil
		e.reserved = resource.Order{}
		e.report(name, Failed, RejectedByEndpoint, d.Detail)
		e.retry(now)
	}
}

// lostBefore returns the order that isn't settled if an earlier sending of it
// was lost, and so may yet take effect.
func (e *endpoint) lostBefore() *sent {
	if e.unsettled.lost {
		return e.unsettled
	}
	return nil
}

func (e *endpoint) weightsReserved(now time.Duration, r WeightsReserved) {
	name := e.current
	switch {
	case r.Err != nil:
		e.report(name, Waiting, WeightStoreDown, r.Err.Error())
		e.retry(now)
	case r.Wait > 0:
		e.report(name, Waiting, WeightStoreLimited, "")
		e.notBefore = now + r.Wait
	default:
		if o, ok := e.next(); ok && o.Name == name {
			e.reserved = o
		}
		e.notBefore = now
	}
}

// retry goes on after a wait that grows with each order in a row that failed.
func (e *endpoint) retry(now time.Duration) {
	e.wait(now, e.tries)
	e.tries++
}

// wait goes on after a wait that doubles with each failure before.
func (e *endpoint) wait(now time.Duration, failures int) {
	e.notBefore = now + min(firstRetry<<min(failures, maxDoublings), lastRetry)
}
