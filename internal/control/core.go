package control

import (
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system"
	"github.com/trefoilchute/trefoilchute/internal/system/claim"
	"github.com/trefoilchute/trefoilchute/internal/system/configuration"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
	"github.com/trefoilchute/trefoilchute/internal/system/keyledger"
	"github.com/trefoilchute/trefoilchute/internal/system/membership"
	"github.com/trefoilchute/trefoilchute/internal/system/order"
	"github.com/trefoilchute/trefoilchute/internal/system/quota"
	"github.com/trefoilchute/trefoilchute/internal/system/scheduling"
)

// Config is fixed for the life of a Core.
type Config struct {
	Self        ident.Host
	Incarnation uint64
	Domain      ident.Domain
	// Address is where other hosts reach this one.
	Address string
	// Capacity is the host's processor in thousandths of a core; 0: not told.
	Capacity uint32
	// Seed feeds every random choice.
	Seed uint64
	// Nonce returns a value that no other claim has.
	Nonce func() string
	// External says that the configuration is read elsewhere and comes as
	// Changed events, that requests carry no keys, and that there are no orders:
	// the core then calls neither table nor object store.
	External bool
}

// Core holds all control state of an entry host. It isn't safe for concurrent
// use.
type Core struct {
	cfg    Config
	now    time.Duration
	wall   int64
	out    system.Outbox
	effect Effects

	members       *membership.System
	configuration *configuration.System
	custody       *custody.System
	scheduling    *scheduling.System
	claims        *claim.System
	orders        *order.System
	keys          *keyledger.System
	quotas        *quota.System

	// declared is the configuration in force, and snapshot the same with those endpoints
	// draining that said in their answers that they leave: leavingEndpoints holds their lifetimes.
	declared, snapshot *resource.Snapshot
	leavingEndpoints   map[ident.Endpoint]int64
	viewVersion        uint64
	duties             duties
	// paused says that the view of the hosts may be stale.
	paused bool
	// joining says that this host has just started, see awaitsOthers; listed that it knows
	// whom to look for. configuredAt is when its first configuration came; 0: not yet.
	joining, listed bool
	configuredAt    time.Duration
	watched         []resource.Endpoint
	// watchDue is when the endpoints to watch are looked through again.
	watchDue time.Duration
	// gated holds what claims and keys need to know of the requests in custody.
	gated map[ident.Request]custody.Arrival
	// heard is when each host's last message came, and unresponsive when it last
	// left a submission without an answer.
	heard        map[ident.Host]time.Duration
	unresponsive map[ident.Host]silence
	// reached is when each other domain could last be reached, or was first known.
	reached map[ident.Domain]time.Duration
	// adopted holds the claims of dead holders whose answers are being rescued.
	adopted map[ident.Request]adoption
}

// New returns a core that knows no other host and no configuration.
func New(cfg Config) *Core {
	c := &Core{
		cfg: cfg, gated: map[ident.Request]custody.Arrival{}, adopted: map[ident.Request]adoption{},
		heard: map[ident.Host]time.Duration{}, unresponsive: map[ident.Host]silence{},
		reached: map[ident.Domain]time.Duration{}, leavingEndpoints: map[ident.Endpoint]int64{},
	}
	c.joining = cfg.External
	c.members = membership.New(membership.Config{
		Self: cfg.Self, Incarnation: cfg.Incarnation, Domain: cfg.Domain,
		Address: cfg.Address, Seed: cfg.Seed, Capacity: cfg.Capacity,
	})
	c.configuration = configuration.New(configuration.Config{
		Self: cfg.Self, Domain: cfg.Domain, Seed: cfg.Seed, View: c.members, External: cfg.External,
	})
	c.custody = custody.New(custody.Config{Self: cfg.Self, View: custodyView{c}})
	c.quotas = quota.New()
	c.scheduling = scheduling.New(scheduling.Config{
		Self: cfg.Self, Domain: cfg.Domain, View: schedulingView{c}, Seed: cfg.Seed, Quotas: c.quotas,
	})
	c.claims = claim.New(claim.Config{
		Host: cfg.Self, Incarnation: cfg.Incarnation, Nonce: cfg.Nonce, Liveness: c.liveness,
	})
	c.keys = keyledger.New(keyledger.Config{Self: cfg.Self, View: c.members})
	c.orders = order.New(order.Config{
		Domain: cfg.Domain, Host: cfg.Self, Incarnation: cfg.Incarnation,
		LeaseTerm: order.DefaultLeaseTerm, MaxOrderTime: order.DefaultMaxOrderTime,
	})
	return c
}

// Step takes in the events in order at a time that never falls; wall is the
// time of day in milliseconds of Unix time. It returns what to do.
func (c *Core) Step(now time.Duration, wall int64, events []Event) Effects {
	c.now = max(c.now, now)
	c.wall = wall
	c.effect = Effects{}
	c.noticePause()
	for _, e := range events {
		c.take(e)
		c.settle()
	}
	c.tick()
	c.settle()
	c.effect.Sends = c.out.Sends
	c.effect.Calls = c.out.Calls
	c.out = system.Outbox{}
	c.effect.Steps = c.scheduling.TakeSteps()
	c.effect.Orders = c.orders.Take()
	c.effect.Superseded = c.members.Superseded()
	c.noteWatch()
	return c.effect
}

// noticePause gives up every pool after this process stood still for longer
// than the others wait for it: they may have taken its pools over. Nothing is
// granted until the view is known to be fresh.
func (c *Core) noticePause() {
	c.paused = c.members.Paused(c.now)
	c.joining = c.joining && c.awaitsOthers()
	c.scheduling.Suspend(c.now, c.paused || c.joining, &c.out)
}

// joinLimit bounds how long a host that has just started schedules nothing while it has
// heard of no other: links take a few round trips to come up.
const joinLimit = 300 * time.Millisecond

// awaitsOthers reports whether this host may soon hear of others that know what runs, and
// which requests endpoints end under. The time counts from its first configuration.
func (c *Core) awaitsOthers() bool {
	if c.configuredAt > 0 && c.now >= c.configuredAt+joinLimit {
		return false
	}
	return !c.listed || c.members.Fresh()
}

// take applies one event.
func (c *Core) take(e Event) {
	switch e := e.(type) {
	case Arrived:
		c.arrive(e.Arrival)
	case CallerLeft:
		c.gone(e.ID)
	case Connected:
		c.custody.Connected(c.now, e.ID, e.Attempt, &c.out)
	case Unreachable:
		c.custody.Unreachable(c.now, e.ID, e.Attempt, &c.out)
	case FirstToken:
		c.custody.FirstToken(c.now, e.ID, e.After, &c.out)
	case Ended:
		c.ended(e)
	case Received:
		c.receive(e.Message)
	case Replied:
		c.replied(e.Reply)
	case EndpointObserved:
		c.scheduling.Observe(c.now, e.Pool, e.Event, &c.out)
	case EndpointLeaving:
		c.endpointLeaves(LeavingEndpoint{e.Endpoint, e.Lifetime, c.cfg.Self})
	case SuspectsRestored:
		c.scheduling.MergeSuspects(c.now, e.List, &c.out)
	case TeamLimits:
		c.quotas.Configure(c.now, e.Teams)
	case HostsListed:
		c.members.SetSeeds(e.Hosts)
		c.listed = true
		c.effect.Peers = c.peerAddresses()
	case DrainTimedOut:
		c.custody.RefuseWaiting(c.now, stopping(), &c.out)
	case Leave:
		c.members.Leave(c.now, &c.out)
	case JoinLost:
		c.rescue(e.Join.ID, e.Join.Request, e.Join.Target)
	case AnswerRecovered:
		c.rescued(e)
	case ConfigurationChanged:
		c.configuration.Adopt(c.now, e.Snapshot, &c.out)
	case OrderEvent:
		c.orders.Event(c.now, e.Event, &c.out)
	case Depart:
		c.members.Depart(c.now, &c.out)
	case inspection:
		e.run(c)
	}
}

// stopping is the final answer to what waits when a host's time to stop is over.
func stopping() *result.Error {
	return &result.Error{
		Code: result.Stopping, RetryAfter: time.Second, Reason: "the host stops and its time to finish is over",
	}
}

// arrive takes a request into custody, or refuses it before there is a
// configuration.
func (c *Core) arrive(a custody.Arrival) {
	if c.snapshot == nil {
		c.effect.Directives = append(c.effect.Directives, custody.Directive{
			Kind: custody.Refuse, ID: a.ID,
			Err: &result.Error{
				Code: result.NotReady, RetryAfter: time.Second, Reason: "no configuration yet",
			},
		})
		return
	}
	if a.Key != "" {
		c.gated[a.ID] = a
	}
	c.custody.Arrive(c.now, a, &c.out)
}

// tick runs every system that is due.
func (c *Core) tick() {
	c.members.Tick(c.now, &c.out)
	c.configuration.Tick(c.now, &c.out)
	if !c.cfg.External {
		c.tickTable()
	}
	c.custody.Tick(c.now, &c.out)
	c.scheduling.Tick(c.now, &c.out)
	c.reportUsage()
}

// tickTable runs the systems that keep rows in the platform's table.
func (c *Core) tickTable() {
	c.reviewDuties()
	c.claims.SetSweeper(c.now, c.wall, c.duties.sweep)
	c.claims.Tick(c.now, &c.out)
	c.keys.Tick(c.now, &c.out)
	c.orders.SetOwner(c.duties.orders)
	c.orders.Tick(c.now, &c.out)
}

// settle carries what one system decided to the others until nothing is left:
// messages to the own host, results of claims, directives, a new
// configuration, another view of the hosts.
func (c *Core) settle() {
	for again := true; again; {
		again = c.deliverOwn()
		again = c.settleClaims() || again
		again = c.settleKeys() || again
		again = c.settleDirectives() || again
		again = c.adoptSnapshot() || again
		again = c.adoptView() || again
	}
}

// deliverOwn delivers the messages that this host sent to itself.
func (c *Core) deliverOwn() bool {
	var own []*peerpb.Envelope
	others := c.out.Sends[:0]
	for _, send := range c.out.Sends {
		send.Message.From = string(c.cfg.Self)
		send.Message.Incarnation = c.cfg.Incarnation
		if send.To == c.cfg.Self {
			own = append(own, send.Message)
		} else {
			others = append(others, send)
		}
	}
	c.out.Sends = others
	for _, m := range own {
		c.receive(m)
	}
	return len(own) > 0
}

// adoptSnapshot brings a new configuration into force.
func (c *Core) adoptSnapshot() bool {
	snap := c.configuration.Current()
	if snap == nil || (c.snapshot != nil && snap.Revision <= c.snapshot.Revision) {
		return false
	}
	c.declared, c.snapshot = snap, c.withLeaving(snap)
	if c.configuredAt == 0 {
		c.configuredAt = max(1, c.now)
	}
	c.watchDue = c.now
	c.effect.Snapshot = snap
	if !c.cfg.External {
		c.members.SetRevision(snap.Revision)
	}
	c.scheduling.Configure(c.now, c.snapshot, &c.out)
	c.orders.Configure(snap)
	return true
}

// adoptView lets the pools follow a change of the membership.
func (c *Core) adoptView() bool {
	if c.members.Version() == c.viewVersion {
		return false
	}
	c.viewVersion = c.members.Version()
	c.watchDue = c.now
	c.effect.Peers = c.peerAddresses()
	c.scheduling.Reassign(c.now, &c.out)
	return true
}

// noteWatch reports when other endpoints are to be watched. It looks at once
// after a change of the configuration or of the hosts, and otherwise once in
// watchInterval, as it goes through every endpoint.
func (c *Core) noteWatch() {
	if c.now < c.watchDue {
		return
	}
	c.watchDue = c.now + watchInterval
	list := c.scheduling.OwnedEndpoints()
	if slices.Equal(list, c.watched) {
		return
	}
	c.watched = list
	c.effect.Watch = list
	c.effect.WatchChanged = true
}

// NextWake returns when Step is due without an event.
func (c *Core) NextWake() time.Duration {
	next := c.now + maxSleep
	take := func(at time.Duration, ok bool) {
		if ok {
			next = min(next, at)
		}
	}
	take(c.members.NextWake(), true)
	take(c.configuration.NextWake())
	if !c.cfg.External {
		take(c.claims.NextWake())
		take(c.keys.NextWake())
		take(c.orders.NextWake())
	}
	take(c.configuredAt+joinLimit, c.joining && c.configuredAt > 0)
	take(c.quotas.NextWake())
	take(c.custody.NextWake(c.now))
	take(c.scheduling.NextWake())
	return max(next, c.now+minSleep)
}

const (
	// minSleep bounds how often the loop wakes without events.
	minSleep = 1 * time.Millisecond
	// maxSleep bounds how long the loop sleeps.
	maxSleep = 1 * time.Second
	// watchInterval is the longest time in which a pool taken over or given up
	// for another reason than a change of the hosts isn't noticed.
	watchInterval = 1 * time.Second
)

// Counts returns the number of requests waiting and dispatched, and of claims
// whose answers the table has yet to take.
func (c *Core) Counts() (waiting, dispatched, claims int) {
	waiting, dispatched = c.custody.Counts()
	return waiting, dispatched, c.claims.Pending()
}
