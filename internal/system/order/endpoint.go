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

// Intervals and limits for one endpoint.
const (
	// refreshInterval is the minimum time between reads of a state that is as
	// declared. Up to refreshJitter is added to it, so that the endpoints aren't
	// all read at once.
	refreshInterval = time.Minute
	refreshJitter   = 15 * time.Second
	// pollInterval is the time between reads while an order is outstanding.
	pollInterval      = time.Second
	firstRetry        = time.Second
	lastRetry         = 30 * time.Second
	maxRetryDoublings = 5
	// maxFenceGap limits how far an endpoint's state can raise the fencing number.
	maxFenceGap = 1 << 20
	// foreignRetention is how long a foreign order is reported in the conditions.
	foreignRetention = time.Hour
)

// orderIDPrefix is the prefix of the IDs of this system's orders.
const orderIDPrefix = "trefoilchute/"

// ForeignUnidentified stands for a foreign change of an endpoint's state for
// which the endpoint names no order.
const ForeignUnidentified = "unidentified"

// endpoint holds the orders of one endpoint and their progress.
type endpoint struct {
	name    ident.Endpoint
	address string
	fencing resource.Fencing
	refresh time.Duration
	// orders holds the orders to apply, sorted by name. overruled maps the names
	// of the others to the order that overrules them.
	orders    []resource.Order
	overruled map[string]string

	// state is the last state read, or nil while it is unknown. readStarted is
	// when that read was sent. fresh is set while no order was sent since.
	state       *engine.State
	readStarted time.Duration
	fresh       bool
	// outstanding is the order that may still take effect, or nil.
	outstanding *sentOrder
	// reserved is the order whose weights the weight store has approved.
	reserved resource.Order

	// awaitsEvent is set while an effect has no event yet, awaitsLease while only
	// the lease is missing. Otherwise the next step is due at notBefore.
	awaitsEvent bool
	awaitsLease bool
	notBefore   time.Duration
	// failedOrders counts consecutive orders that did not produce the declared
	// state, failedReads consecutive failed reads.
	failedOrders int
	failedReads  int

	// current is the order that status, reason and detail apply to; empty if
	// they apply to all orders.
	current string
	status  Status
	reason  Reason
	detail  string
	// foreign is the last change from another source, and foreignAt when it was
	// seen.
	foreign   string
	foreignAt time.Duration
}

// sentOrder is an order that was sent and may still take effect.
type sentOrder struct {
	id    string
	order resource.Order
	fence uint64
	// ambiguous is set if its answer was lost.
	ambiguous bool
	// effectUntil is when it can no longer take effect.
	effectUntil time.Duration
}

// configure sets the declared endpoint and orders.
func (e *endpoint) configure(declared resource.Endpoint, orders []resource.Order) {
	if declared.Name != "" {
		e.name = declared.Name
		e.address = declared.Address
		e.fencing = declared.Fencing
		spread := xxhash.Sum64String(string(e.name)) % uint64(refreshJitter)
		e.refresh = refreshInterval + time.Duration(spread)
	}
	kept, overruled := resolve(orders)
	if !slices.Equal(kept, e.orders) {
		e.notBefore = 0
		e.failedOrders = 0
	}
	e.orders = kept
	e.overruled = overruled
	if e.status == "" {
		e.setStatus("", Waiting, ReadingState, "")
	}
}

// setStatus sets what the conditions report.
func (e *endpoint) setStatus(current string, status Status, reason Reason, detail string) {
	e.current = current
	e.status = status
	e.reason = reason
	e.detail = detail
}

// nextOrder returns the first order that the state doesn't satisfy.
func (e *endpoint) nextOrder() (resource.Order, bool) {
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
	_, ok := e.nextOrder()
	return ok
}

// nextWake returns when the endpoint's next step is due. It returns false if the
// endpoint waits for an event or the lease.
func (e *endpoint) nextWake(s *System) (time.Duration, bool) {
	if e.awaitsEvent || e.awaitsLease || (!s.owner && e.outstanding == nil) {
		return 0, false
	}
	return e.notBefore, true
}

// step takes the endpoint's next step if it is due.
func (e *endpoint) step(s *System, now time.Duration) {
	e.awaitsLease = false
	if e.awaitsEvent || now < e.notBefore || (!s.owner && e.outstanding == nil) {
		return
	}
	if !e.fresh || now >= e.readStarted+e.refresh {
		e.requestState(s, now)
		return
	}
	o, ok := e.nextOrder()
	if e.outstanding != nil && !e.resendable(s, now, o) {
		e.fresh = false
		e.notBefore = min(e.outstanding.effectUntil, now+pollInterval)
		return
	}
	if !ok {
		e.failedOrders = 0
		e.setStatus("", Applied, AsDeclared, "")
		e.notBefore = e.readStarted + e.refresh
		return
	}
	e.prepare(s, now, o)
}

// resendable reports whether the outstanding order may be sent again. Under the
// same ID and fencing number it takes effect only once.
func (e *endpoint) resendable(s *System, now time.Duration, o resource.Order) bool {
	grant, held := s.lease.Held(now)
	u := e.outstanding
	return s.owner && u.ambiguous && held && u.order == o && u.fence == grant.Fence
}

// prepare sends an order once all its preconditions are met: the lease, no
// orders of earlier holders, a fresh state and approval to fetch weights.
func (e *endpoint) prepare(s *System, now time.Duration, o resource.Order) {
	grant, held := s.lease.Held(now)
	if !held || !s.owner {
		e.awaitsLease = true
		e.setStatus(o.Name, Waiting, NoLease, "")
		return
	}
	if now < e.safeFrom(grant) {
		e.notBefore = e.safeFrom(grant)
		e.setStatus(o.Name, Waiting, EarlierHolder, "")
		return
	}
	if e.readStarted < e.safeFrom(grant) {
		e.requestState(s, now)
		return
	}
	if needsWeights(o) && e.reserved != o {
		e.requestWeights(s, o)
		return
	}
	e.sendOrder(s, now, o, grant)
}

// safeFrom returns when orders of earlier holders can no longer take effect. An
// endpoint that enforces fencing refuses them from this holder's first order on.
func (e *endpoint) safeFrom(grant lease.Grant) time.Duration {
	if e.fencing == resource.FencingEnforced {
		return grant.Since
	}
	return grant.SafeAt
}

func (e *endpoint) requestState(s *System, now time.Duration) {
	e.awaitsEvent = true
	e.readStarted = now
	s.emit(e, func(token uint64) Effect {
		return ReadState{Token: token, Endpoint: e.name, Address: e.address}
	})
}

func (e *endpoint) requestWeights(s *System, o resource.Order) {
	e.awaitsEvent = true
	e.current = o.Name
	s.emit(e, func(token uint64) Effect {
		return ReserveWeights{Token: token, Name: o.Value}
	})
}

func (e *endpoint) sendOrder(s *System, now time.Duration, o resource.Order, grant lease.Grant) {
	if e.outstanding == nil {
		s.serial++
		id := fmt.Sprintf("%s%s/%d.%d", orderIDPrefix, o.Name, grant.Fence, s.serial)
		e.outstanding = &sentOrder{id: id, order: o, fence: grant.Fence}
	}
	e.outstanding.effectUntil = now + s.cfg.MaxOrderTime
	e.fresh = false
	e.awaitsEvent = true
	e.setStatus(o.Name, Waiting, Sent, "")
	s.emit(e, func(token uint64) Effect {
		return SendOrder{
			Token:    token,
			Endpoint: e.name,
			Address:  e.address,
			Order: engine.Order{
				ID:     e.outstanding.id,
				Fence:  grant.Fence,
				Action: string(o.Action),
				Value:  o.Value,
			},
			NotAfter: grant.Until,
		}
	})
}

// handleEvent handles the result of the endpoint's effect.
func (e *endpoint) handleEvent(s *System, now time.Duration, event Event) {
	e.awaitsEvent = false
	switch event := event.(type) {
	case StateRead:
		e.handleState(s, now, event)
	case SendResult:
		e.handleOrderResult(s, now, event)
	case WeightsReserved:
		e.handleWeights(now, event)
	}
}

// handleState takes the endpoint's state and settles the outstanding order if the
// state shows its outcome.
func (e *endpoint) handleState(s *System, now time.Duration, r StateRead) {
	if r.Err != nil {
		e.state = nil
		e.fresh = false
		e.setStatus("", Failed, Unreachable, r.Err.Error())
		e.backOff(now, e.failedReads)
		e.failedReads++
		e.settleExpired()
		return
	}
	before := e.state
	e.state = &r.State
	e.fresh = true
	e.failedReads = 0
	e.notBefore = now
	e.detectForeign(now, before)
	if u := e.outstanding; u != nil && r.State.LastOrder == u.id {
		e.outstanding = nil
	}
	e.settleExpired()
	e.raiseFence(s, now)
}

// raiseFence raises the lease's fencing number above the one that the endpoint has
// seen, which is higher after the lease's row was lost. An implausibly high number
// is not followed and shows up as StaleFence.
func (e *endpoint) raiseFence(s *System, now time.Duration) {
	grant, held := s.lease.Held(now)
	seen := e.state.Fence
	if held && seen > grant.Fence && seen-grant.Fence < maxFenceGap {
		s.lease.RaiseFence(now, seen+1)
	}
}

// settleExpired settles an order that can no longer take effect, because the last
// read was sent after the latest time at which it could.
func (e *endpoint) settleExpired() {
	if e.outstanding != nil && e.readStarted >= e.outstanding.effectUntil {
		e.outstanding = nil
	}
}

// detectForeign looks for state changes that no order of this system made.
func (e *endpoint) detectForeign(now time.Duration, before *engine.State) {
	if e.foreign != "" && now >= e.foreignAt+foreignRetention {
		e.foreign = ""
	}
	last := e.state.LastOrder
	if last != "" && !strings.HasPrefix(last, orderIDPrefix) {
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

// handleOrderResult handles the result of an order. After any outcome but Accepted
// and Ambiguous the order has no effect.
func (e *endpoint) handleOrderResult(s *System, now time.Duration, d SendResult) {
	name := e.outstanding.order.Name
	switch d.Outcome {
	case Accepted:
		e.reserved = resource.Order{}
		e.notBefore = now
	case Ambiguous:
		e.outstanding.ambiguous = true
		e.outstanding.effectUntil = now + s.cfg.MaxOrderTime
		e.setStatus(name, Waiting, AnswerLost, d.Detail)
		e.retry(now)
	case Unsent:
		e.outstanding = e.ifAmbiguous()
		e.setStatus(name, Waiting, NotSent, d.Detail)
		e.retry(now)
	case Stale:
		e.outstanding = e.ifAmbiguous()
		s.lease.Invalidate(now)
		e.setStatus(name, Failed, StaleFence, d.Detail)
		e.retry(now)
	case Rejected:
		e.outstanding = nil
		e.reserved = resource.Order{}
		e.setStatus(name, Failed, RejectedByEndpoint, d.Detail)
		e.retry(now)
	}
}

// ifAmbiguous returns the outstanding order if the answer to an earlier sending was
// lost, so that it may still take effect, and nil otherwise.
func (e *endpoint) ifAmbiguous() *sentOrder {
	if e.outstanding.ambiguous {
		return e.outstanding
	}
	return nil
}

func (e *endpoint) handleWeights(now time.Duration, r WeightsReserved) {
	name := e.current
	switch {
	case r.Err != nil:
		e.setStatus(name, Waiting, WeightStoreDown, r.Err.Error())
		e.retry(now)
	case r.Wait > 0:
		e.setStatus(name, Waiting, WeightStoreLimited, "")
		e.notBefore = now + r.Wait
	default:
		if o, ok := e.nextOrder(); ok && o.Name == name {
			e.reserved = o
		}
		e.notBefore = now
	}
}

// retry schedules the next step with a delay that grows with each consecutive
// order that failed.
func (e *endpoint) retry(now time.Duration) {
	e.backOff(now, e.failedOrders)
	e.failedOrders++
}

// backOff schedules the next step after a delay that doubles with each earlier
// failure, up to lastRetry.
func (e *endpoint) backOff(now time.Duration, failures int) {
	e.notBefore = now + min(firstRetry<<min(failures, maxRetryDoublings), lastRetry)
}
