package control

import (
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/pool/domains"
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

// Config holds the fixed settings of a Core.
type Config struct {
	Self        ident.Host
	Incarnation uint64
	Domain      ident.Domain
	// Address is the host's own address for messages from other hosts.
	Address string
	// Capacity is the processor time available to the host in millicores; 0 if unknown.
	Capacity uint32
	// Seed initializes all random number generators.
	Seed uint64
	// Nonce returns a value that is unique among all claims.
	Nonce func() string
	// External reports whether the configuration is read outside the core and arrives as
	// ConfigurationChanged events. Requests then carry no keys and there are no orders, so
	// the core calls neither the table nor the object store.
	External bool
	// Domains prices placements outside a custodian's failure domain.
	Domains domains.Prices
	// ProtectShares is pool.Config.ProtectShares.
	ProtectShares bool
}

// Core holds the control state of an entry host. It is not safe for concurrent
// use.
type Core struct {
	cfg     Config
	now     time.Duration
	wall    int64
	out     system.Outbox
	effects Effects

	members       *membership.System
	configuration *configuration.System
	custody       *custody.System
	scheduling    *scheduling.System
	claims        *claim.System
	orders        *order.System
	keys          *keyledger.System
	quotas        *quota.System

	// declared is the configuration in force. snapshot is declared with the endpoints in
	// leavingEndpoints set to draining.
	declared, snapshot *resource.Snapshot
	// leavingEndpoints maps the endpoints that announced in an answer that they are leaving
	// to the lifetime that announced it.
	leavingEndpoints  map[ident.Endpoint]int64
	membershipVersion uint64
	duties            duties
	// paused is set while the membership may be stale after a pause of this process.
	paused bool
	// joining is set after a start until awaitsPeers is false. hostListKnown is set once
	// the platform's list of hosts has arrived.
	joining, hostListKnown bool
	// drained is set when the drain period of a planned stop is over.
	drained bool
	// configuredAt is the time of the first configuration; 0 before.
	configuredAt time.Duration
	watched      []resource.Endpoint
	// watchDue is the time of the next check of the endpoints to watch.
	watchDue time.Duration
	// keyed holds the requests in custody that carry an idempotency key.
	keyed map[ident.Request]custody.Arrival
	// lastMessageAt is the time of the last message from each host.
	lastMessageAt map[ident.Host]time.Duration
	// unresponsive holds the last unanswered submission to each host.
	unresponsive map[ident.Host]unansweredSubmission
	// lastReachableAt is the last time at which each domain was reachable, or the time at
	// which it became known.
	lastReachableAt map[ident.Domain]time.Duration
	// usagePeers holds the hosts that get this host's usage reports.
	usagePeers map[ident.Host]*usagePeer
	// ranked holds the hosts that may schedule a pool, as of rankedVersion of the membership.
	ranked        map[ident.Pool][]ident.Host
	rankedVersion uint64
	// dropsInRow counts the events dropped since the last one that was applied. restartedAt is when
	// the schedulers were last restarted after a panic, 0 if never, and restartDue is set if they have
	// to be again.
	dropsInRow  int
	restartedAt time.Duration
	restartDue  bool
	// recovering holds the claims of dead holders whose answers are being recovered.
	recovering map[ident.Request]claimRecovery
}

// New returns a core without configuration that knows no other hosts.
func New(cfg Config) *Core {
	c := &Core{
		cfg: cfg, keyed: map[ident.Request]custody.Arrival{}, recovering: map[ident.Request]claimRecovery{},
		lastMessageAt: map[ident.Host]time.Duration{}, unresponsive: map[ident.Host]unansweredSubmission{},
		lastReachableAt: map[ident.Domain]time.Duration{}, leavingEndpoints: map[ident.Endpoint]int64{},
		usagePeers: map[ident.Host]*usagePeer{}, ranked: map[ident.Pool][]ident.Host{},
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
		Self: cfg.Self, Domain: cfg.Domain, View: schedulingView{c}, Seed: cfg.Seed, Quotas: c.quotas, Domains: cfg.Domains,
		ProtectShares: cfg.ProtectShares,
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

// SetIncarnation replaces the incarnation of this process. It must be called before the first step,
// and only if the configuration is external.
func (c *Core) SetIncarnation(incarnation uint64) {
	c.cfg.Incarnation = incarnation
	c.members.SetIncarnation(incarnation)
}

// Step applies the events in order and returns the resulting effects. now is a
// monotonic time and must not decrease; wall is the Unix time in milliseconds.
func (c *Core) Step(now time.Duration, wall int64, events []Event) Effects {
	c.now = max(c.now, now)
	c.wall = wall
	c.effects = Effects{}
	c.checkPause()
	for _, e := range events {
		c.applyProtected(e)
	}
	c.tick()
	c.propagate()
	c.effects.Sends = c.out.Sends
	c.effects.Calls = c.out.Calls
	c.out = system.Outbox{}
	c.effects.Steps = c.scheduling.TakeSteps()
	c.effects.Orders = c.orders.Take()
	c.effects.Verdicts = c.scheduling.TakeVerdicts()
	c.effects.Superseded = c.members.Superseded()
	c.updateWatch()
	return c.effects
}

// checkPause gives up all pools after this process was paused for longer than
// the death timeout, because other hosts may have taken them over. Scheduling
// stays suspended until the membership is known to be current.
func (c *Core) checkPause() {
	c.paused = c.members.Paused(c.now)
	c.joining = c.joining && c.awaitsPeers()
	c.scheduling.Suspend(c.now, c.paused || c.joining, &c.out)
}

// joinTimeout bounds how long a newly started host waits for other hosts before it
// schedules. Links take a few round trips to come up.
const joinTimeout = 300 * time.Millisecond

// awaitsPeers reports whether this host should wait for other hosts before it schedules.
// They know the running requests and the suspects of endpoint crashes. joinTimeout counts
// from the first configuration.
func (c *Core) awaitsPeers() bool {
	if c.configuredAt > 0 && c.now >= c.configuredAt+joinTimeout {
		return false
	}
	return !c.hostListKnown || c.members.Fresh()
}

// apply applies one event.
func (c *Core) apply(e Event) {
	switch e := e.(type) {
	case Arrived:
		c.arrive(e.Arrival)
	case CallerLeft:
		c.callerLeft(e.ID)
	case Connected:
		c.custody.Connected(c.now, e.ID, e.Attempt, &c.out)
	case Unreachable:
		c.custody.Unreachable(c.now, e.ID, e.Attempt, &c.out)
	case FirstToken:
		c.custody.FirstToken(c.now, e.ID, e.After, e.LoadPercent, &c.out)
	case Ended:
		c.ended(e)
	case Received:
		c.receiveProtected(e.Message)
	case Replied:
		c.replied(e.Reply)
	case EndpointObserved:
		c.scheduling.Observe(c.now, e.Pool, e.Event, &c.out)
	case EndpointLeaving:
		c.noteLeaving(LeavingEndpoint{e.Endpoint, e.Lifetime, c.cfg.Self})
	case SuspectsRestored:
		c.scheduling.MergeSuspects(c.now, e.List, &c.out)
	case RolloutsChanged:
		c.scheduling.SetRollouts(c.now, e.Statuses, e.Bounds, &c.out)
	case TeamLimits:
		c.quotas.Configure(c.now, e.Teams)
	case HostsListed:
		c.members.SetSeeds(e.Hosts)
		c.hostListKnown = true
		c.effects.Peers = c.peerAddresses()
	case DrainTimedOut:
		c.drained = true
		c.custody.RefuseWaiting(c.now, stoppingError(), &c.out)
	case Leave:
		c.members.Leave(c.now, &c.out)
	case JoinLost:
		c.recoverAnswer(e.Join.ID, e.Join.Request, e.Join.Target)
	case AnswerRecovered:
		c.answerRecovered(e)
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

// otherHostRetryAfter is the Retry-After where another host can take the request at once.
const otherHostRetryAfter = 50 * time.Millisecond

// stoppingError returns the refusal for requests that are not dispatched when the host's drain
// period is over.
func stoppingError() *result.Error {
	return &result.Error{
		Code: result.Stopping, RetryAfter: otherHostRetryAfter, Reason: "the host stops and its time to finish is over",
	}
}

// arrive takes a request into custody. It refuses the request if there is no
// configuration yet, or if the drain period is over.
func (c *Core) arrive(a custody.Arrival) {
	var refusal *result.Error
	switch {
	case c.drained:
		refusal = stoppingError()
	case c.snapshot == nil:
		refusal = &result.Error{Code: result.NotReady, RetryAfter: time.Second, Reason: "no configuration yet"}
	}
	if refusal != nil {
		c.effects.Directives = append(c.effects.Directives, custody.Directive{Kind: custody.Refuse, ID: a.ID, Err: refusal})
		return
	}
	if !c.scheduling.RolloutsEnabled() {
		a.Route = 0
	}
	if a.Key != "" {
		c.keyed[a.ID] = a
	}
	c.custody.Arrive(c.now, a, &c.out)
}

// tick runs the timers of all systems.
func (c *Core) tick() {
	c.members.Tick(c.now, &c.out)
	c.configuration.Tick(c.now, &c.out)
	if !c.cfg.External {
		c.tickTable()
	}
	c.custody.Tick(c.now, &c.out)
	c.tickSchedulers()
	c.reportUsage()
}

// tickTable runs the timers of the systems that keep rows in the platform's table.
func (c *Core) tickTable() {
	c.updateDuties()
	c.claims.SetSweeper(c.now, c.wall, c.duties.sweep)
	c.claims.Tick(c.now, &c.out)
	c.keys.Tick(c.now, &c.out)
	c.orders.SetOwner(c.duties.orders)
	c.orders.Tick(c.now, &c.out)
}

// propagate passes the output of each system to the others until there is no more:
// messages to this host, results of claims and keys, directives, a new configuration,
// membership changes.
func (c *Core) propagate() {
	for again := true; again; {
		again = c.deliverLocal()
		again = c.handleClaimResults() || again
		again = c.handleKeyResults() || again
		again = c.handleDirectives() || again
		again = c.applySnapshot() || again
		again = c.applyMembership() || again
	}
}

// deliverLocal delivers the messages from this host to itself. It reports whether there
// were any.
func (c *Core) deliverLocal() bool {
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
		c.receiveProtected(m)
	}
	return len(own) > 0
}

// applySnapshot brings a new configuration into force. It reports whether there was one.
func (c *Core) applySnapshot() bool {
	snap := c.configuration.Current()
	if snap == nil || (c.snapshot != nil && snap.Revision <= c.snapshot.Revision) {
		return false
	}
	c.declared, c.snapshot = snap, c.drainLeaving(snap)
	if c.configuredAt == 0 {
		c.configuredAt = max(1, c.now)
	}
	c.watchDue = c.now
	c.effects.Snapshot = snap
	if !c.cfg.External {
		c.members.SetRevision(snap.Revision)
	}
	c.scheduling.Configure(c.now, c.snapshot, &c.out)
	c.orders.Configure(snap)
	return true
}

// applyMembership reassigns the pools after a membership change. It reports whether there
// was one.
func (c *Core) applyMembership() bool {
	if c.members.Version() == c.membershipVersion {
		return false
	}
	c.membershipVersion = c.members.Version()
	c.watchDue = c.now
	c.effects.Peers = c.peerAddresses()
	c.scheduling.Reassign(c.now, &c.out)
	return true
}

// updateWatch emits an effect when the set of endpoints to watch changes. As it iterates
// over all endpoints, it runs right after a change of the configuration or the membership
// and otherwise once in watchInterval.
func (c *Core) updateWatch() {
	if c.now < c.watchDue {
		return
	}
	c.watchDue = c.now + watchInterval
	list := c.scheduling.OwnedEndpoints()
	if slices.Equal(list, c.watched) {
		return
	}
	c.watched = list
	c.effects.Watch = list
	c.effects.WatchChanged = true
}

// NextWake returns the time at which Step is due without an event.
func (c *Core) NextWake() time.Duration {
	next := c.now + maxSleep
	consider := func(at time.Duration, ok bool) {
		if ok {
			next = min(next, at)
		}
	}
	consider(c.members.NextWake(), true)
	consider(c.configuration.NextWake())
	if !c.cfg.External {
		consider(c.claims.NextWake())
		consider(c.keys.NextWake())
		consider(c.orders.NextWake())
	}
	consider(c.configuredAt+joinTimeout, c.joining && c.configuredAt > 0)
	consider(c.quotas.NextWake())
	consider(c.custody.NextWake(c.now))
	consider(c.scheduling.NextWake())
	return max(next, c.now+minSleep)
}

const (
	// minSleep is the shortest time between two steps without events.
	minSleep = 1 * time.Millisecond
	// maxSleep is the longest time between two steps.
	maxSleep = 1 * time.Second
	// watchInterval bounds the delay until the watched endpoints follow a pool that
	// was taken over or given up without a membership change.
	watchInterval = 1 * time.Second
)

// Counts returns the number of waiting requests, of dispatched requests, and of claims
// whose answers are not yet written to the table.
func (c *Core) Counts() (waiting, dispatched, claims int) {
	waiting, dispatched = c.custody.Counts()
	return waiting, dispatched, c.claims.Pending()
}
