// Package order brings endpoints to the state that the declared orders ask
// for: the models, adapters, version and role that an engine has. One host of
// a failure domain at a time sends orders, under a lease with a fencing number.
//
// Endpoints that check fencing numbers refuse orders of an earlier holder. For
// the others a new holder waits until no order of an earlier one can have
// effect, and reads the endpoint's state before its first order. An order whose
// answer was lost is settled by the endpoint's state; until it is, the endpoint
// gets no other order.
package order

import (
	"sort"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/system"
	"github.com/trefoilchute/trefoilchute/internal/system/lease"
)

// Config is fixed for the life of a System.
type Config struct {
	// Domain is the failure domain whose endpoints get orders.
	Domain      ident.Domain
	Host        ident.Host
	Incarnation uint64
	// LeaseTerm is the term of the lease.
	LeaseTerm time.Duration
	// MaxOrderTime bounds the time from an order's first byte to its effect.
	MaxOrderTime time.Duration
}

// Spans of a deployment that states none.
const (
	DefaultLeaseTerm    = 15 * time.Second
	DefaultMaxOrderTime = time.Minute
)

// System holds the orders of one failure domain at one host. It is not safe
// for concurrent use.
type System struct {
	cfg   Config
	lease *lease.Lease
	// mine says that this host is to hold the lease.
	mine      bool
	orders    map[string]resource.Order
	endpoints map[ident.Endpoint]*endpoint
	// names holds the keys of endpoints in order.
	names     []ident.Endpoint
	nextToken uint64
	// effects finds the endpoint that an effect was for.
	effects map[uint64]*endpoint
	outbox  []Effect
	// serial tells the orders of one fencing number apart.
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
		orders:    map[string]resource.Order{},
		endpoints: map[ident.Endpoint]*endpoint{},
		effects:   map[uint64]*endpoint{},
	}
}

// Configure sets the declared resources. Orders to endpoints of other failure
// domains are passed over.
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

// SetOwner says whether this host is the one to send the failure domain's orders.
func (s *System) SetOwner(mine bool) {
	s.mine = mine
}

// Tick goes on with every endpoint that something is due for.
func (s *System) Tick(now time.Duration, out *system.Outbox) {
	done := 0
	for _, name := range s.names {
		e := s.endpoints[name]
		if len(e.orders) == 0 && e.unsettled == nil && !e.busy {
			delete(s.endpoints, name)
			done++
			continue
		}
		e.step(s, now)
	}
	if done > 0 {
		s.names = sortedKeys(s.endpoints)
	}
	s.tickLease(now, out)
}

// Reply brings the result of a platform call.
func (s *System) Reply(now time.Duration, r system.Reply, out *system.Outbox) {
	s.lease.Reply(now, r, out)
	s.Tick(now, out)
}

// Event brings the result of an effect.
func (s *System) Event(now time.Duration, e Event, out *system.Outbox) {
	target, ok := s.effects[e.event()]
	if !ok {
		return
	}
	delete(s.effects, e.event())
	target.event(s, now, e)
	target.step(s, now)
	s.tickLease(now, out)
}

// Take returns the effects since the last Take, in order.
func (s *System) Take() []Effect {
	effects := s.outbox
	s.outbox = nil
	return effects
}

// NextWake returns when Tick has something to do, if ever.
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

// tickLease holds the lease while there are orders to send, and gives it up
// when nothing that was sent can have an effect any more. At rest there is no
// lease and no write.
func (s *System) tickLease(now time.Duration, out *system.Outbox) {
	work, quiet := false, true
	for _, e := range s.endpoints {
		work = work || e.wantsLease()
		quiet = quiet && e.unsettled == nil
	}
	want := work && s.mine || !quiet
	s.lease.SetWanted(now, want)
	grant, held := s.lease.Held(now)
	if !want && held && now >= grant.SafeAt {
		s.lease.Release(now, out)
	}
	s.lease.Tick(now, out)
}

// emit puts an effect for an endpoint into the outbox. The function builds it
// with its token.
func (s *System) emit(e *endpoint, build func(token uint64) Effect) {
	s.nextToken++
	s.effects[s.nextToken] = e
	s.outbox = append(s.outbox, build(s.nextToken))
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
