// Package order reconciles endpoints with their declared orders: the models,
// adapters, version and role that an engine is to have. In a failure domain one
// host at a time sends orders, under a lease with a fencing number.
//
// Endpoints that enforce fencing refuse the orders of earlier holders. For other
// endpoints a new holder waits until no order of an earlier holder can take
// effect any more, and reads the endpoint's state before its first order. If the
// answer to an order is lost, the endpoint's state shows the outcome; until then
// the endpoint gets no other order.
package order

import (
	"sort"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/system"
	"github.com/trefoilchute/trefoilchute/internal/system/lease"
)

// Config configures a System. It doesn't change during the System's life.
type Config struct {
	// Domain is the failure domain to whose endpoints orders are sent.
	Domain      ident.Domain
	Host        ident.Host
	Incarnation uint64
	// LeaseTerm is the term of the lease on sending orders.
	LeaseTerm time.Duration
	// MaxOrderTime is the maximum time from an order's first byte to its effect.
	MaxOrderTime time.Duration
}

// Durations used if none are configured.
const (
	DefaultLeaseTerm    = 15 * time.Second
	DefaultMaxOrderTime = time.Minute
)

// System manages the orders of one failure domain at one host. It is not safe
// for concurrent use.
type System struct {
	cfg   Config
	lease *lease.Lease
	// owner is set while this host is the one to hold the lease.
	owner     bool
	orders    map[string]resource.Order
	endpoints map[ident.Endpoint]*endpoint
	// names holds the keys of endpoints, sorted.
	names     []ident.Endpoint
	nextToken uint64
	// effectTargets maps the token of an effect to its endpoint.
	effectTargets map[uint64]*endpoint
	effects       []Effect
	// serial distinguishes the orders sent under one fencing number.
	serial uint64
}

// New returns a System without orders.
func New(cfg Config) *System {
	return &System{
		cfg: cfg,
		lease: lease.New(lease.Config{
			Name:        "order/" + string(cfg.Domain),
			Host:        cfg.Host,
			Incarnation: cfg.Incarnation,
			Owner:       system.OwnerOrder,
			Term:        cfg.LeaseTerm,
			Linger:      cfg.MaxOrderTime,
		}),
		orders:        map[string]resource.Order{},
		endpoints:     map[ident.Endpoint]*endpoint{},
		effectTargets: map[uint64]*endpoint{},
	}
}

// Configure sets the declared resources. Orders for endpoints of other failure
// domains are ignored.
func (s *System) Configure(snapshot *resource.Snapshot) {
	s.orders = map[string]resource.Order{}
	lists := map[ident.Endpoint][]resource.Order{}
	for _, name := range sortedKeys(snapshot.Orders) {
		o := snapshot.Orders[name]
		declared, ok := snapshot.Endpoints[string(o.Endpoint)]
		if ok && declared.Domain != s.cfg.Domain {
			continue
		}
		s.orders[name] = o
		if ok && declared.Type == resource.EndpointEngine {
			lists[o.Endpoint] = append(lists[o.Endpoint], o)
		}
	}
	for _, name := range sortedKeys(s.endpoints) {
		if _, ok := lists[name]; !ok {
			s.endpoints[name].configure(resource.Endpoint{}, nil)
		}
	}
	for _, name := range sortedKeys(lists) {
		e, ok := s.endpoints[name]
		if !ok {
			e = &endpoint{}
			s.endpoints[name] = e
		}
		e.configure(snapshot.Endpoints[string(name)], lists[name])
	}
	s.names = sortedKeys(s.endpoints)
}

// SetOwner sets whether this host is the one to send the failure domain's orders.
func (s *System) SetOwner(owner bool) {
	s.owner = owner
}

// Tick takes every endpoint's next step if it is due.
func (s *System) Tick(now time.Duration, out *system.Outbox) {
	removed := 0
	for _, name := range s.names {
		e := s.endpoints[name]
		if len(e.orders) == 0 && e.outstanding == nil && !e.awaitsEvent {
			delete(s.endpoints, name)
			removed++
			continue
		}
		e.step(s, now)
	}
	if removed > 0 {
		s.names = sortedKeys(s.endpoints)
	}
	s.tickLease(now, out)
}

// Reply handles the result of a platform call.
func (s *System) Reply(now time.Duration, r system.Reply, out *system.Outbox) {
	s.lease.Reply(now, r, out)
	s.Tick(now, out)
}

// Event handles the result of an effect.
func (s *System) Event(now time.Duration, e Event, out *system.Outbox) {
	target, ok := s.effectTargets[e.token()]
	if !ok {
		return
	}
	delete(s.effectTargets, e.token())
	target.handleEvent(s, now, e)
	target.step(s, now)
	s.tickLease(now, out)
}

// Take returns the effects since the previous call, in order.
func (s *System) Take() []Effect {
	effects := s.effects
	s.effects = nil
	return effects
}

// NextWake returns when Tick is next due. It returns false if no work is
// scheduled.
func (s *System) NextWake() (time.Duration, bool) {
	wake, set := s.lease.NextWake()
	for _, e := range s.endpoints {
		at, ok := e.nextWake(s)
		if ok && (!set || at < wake) {
			wake = at
			set = true
		}
	}
	return wake, set
}

// tickLease holds the lease while there are orders to send or outstanding, and
// releases it when nothing that was sent can take effect any more. Without
// orders to send there is no lease and no write to the table.
func (s *System) tickLease(now time.Duration, out *system.Outbox) {
	work, settled := false, true
	for _, e := range s.endpoints {
		work = work || e.wantsLease()
		settled = settled && e.outstanding == nil
	}
	want := work && s.owner || !settled
	s.lease.SetWanted(now, want)
	grant, held := s.lease.Held(now)
	if !want && held && now >= grant.SafeAt {
		s.lease.Release(now, out)
	}
	s.lease.Tick(now, out)
}

// emit appends an effect for an endpoint. The function builds it with the given
// token.
func (s *System) emit(e *endpoint, build func(token uint64) Effect) {
	s.nextToken++
	s.effectTargets[s.nextToken] = e
	s.effects = append(s.effects, build(s.nextToken))
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
