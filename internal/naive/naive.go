// Package naive is the pool scheduler's policy written in the plainest way:
// every table is a slice in order of arrival, everything is found by a scan,
// and no result is kept that can be worked out again. It is slow. Its decisions
// are the pool scheduler's to the byte, but for the reasons in words; a
// differential test holds both against each other. The numbers of the policy
// and what is learned (packages rules, speed, window, meter, promise
// and share) are shared.
package naive

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/pool/meter"
	"github.com/trefoilchute/trefoilchute/internal/pool/promise"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/pool/share"
	"github.com/trefoilchute/trefoilchute/internal/pool/speed"
	"github.com/trefoilchute/trefoilchute/internal/pool/window"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// Scheduler is the naive scheduler of one pool.
type Scheduler struct {
	config    pool.Config
	now       time.Duration
	out       []pool.Effect
	tiers     []resource.Tier
	teams     []resource.Team
	endpoints []*endpoint
	requests  []*request
	attempts  []*attempt
	suspects  []*suspect
	remotes   []pool.Remote
	alarms    []alarm
	promises  promise.Book
	usual     share.Table
	lending   time.Duration
	shares    []*queueShare
	proven    []uint64
	fresh     []*request

	lengths   *speed.Lengths
	surprise  speed.OverrunFactor
	meter     meter.Meter
	grantedTo meter.Shares
	sizes     meter.Sizes
	// objectives holds the ranks that have requests with objectives.
	objectives []int

	isolated      *endpoint
	isolatedAlone *attempt

	average             averageSpeed
	averageUntil        time.Duration
	totals              totals
	sequence, attempted uint64
	held, parked        uint64
	unseen              int
}

// state is where a request stands.
type state int

const (
	queued state = iota
	held
	parked
	isolated
	granted
	running
	gone
)

type request struct {
	pool.Request
	sequence uint64
	state    state
	attempt  *attempt
	cost     time.Duration
	mean     float64
	best     int
	home     *endpoint
	// favoured says that its length is no reason to let others go first.
	favoured bool
	// heldForHome says that it was held to wait for home.
	heldForHome bool
	urgent      bool
	late        bool
	// before is what was known of it at its arrival; due says that its promise has to be kept.
	before  promise.Return
	excess  share.Level
	due     bool
	dueAt   time.Duration
	recheck time.Duration
	// heldUntil ends the wait for the prefix; setAside is when it was held or
	// parked.
	heldUntil time.Duration
	setAside  uint64
}

type attempt struct {
	id        ident.Attempt
	request   pool.Request
	endpoint  *endpoint
	granted   time.Duration
	started   bool
	cached    int
	uncached  int
	ahead     int
	others    int
	expected  time.Duration
	firstSeen bool
	blamed    bool
	holds     bool
	orphan    bool
}

type endpoint struct {
	resource.Endpoint
	declared    bool
	closedUntil time.Duration
	failures    int
	changed     bool
	speed       speed.Endpoint
	errors      speed.Errors
	window      window.Window
	load        window.ForeignLoad
	trust       float64
	// cache holds blocks, the least recently used first.
	cache []block
}

// block is a cached block with its length.
type block struct {
	hash   uint64
	tokens int
}

// holds says whether a block is in the endpoint's cache.
func (e *endpoint) holds(hash uint64) bool {
	return slices.ContainsFunc(e.cache, func(b block) bool { return b.hash == hash })
}

type suspect struct {
	pool.Suspect
}

// queueShare is the start-time fair queueing of one team in one tier.
type queueShare struct {
	rank  int
	team  ident.Team
	start float64
	// virtual is set on the row with no team: the tier's virtual time.
	virtual float64
}

// alarm is something to do later; of is what it belongs to: one alarm of a kind
// for each.
type alarm struct {
	at       time.Duration
	sequence uint64
	of       any
	kind     string
	do       func()
}

type totals struct {
	slots, free, working, longPrefills int
}

type averageSpeed struct {
	prefill, decode time.Duration
}

// New returns a naive scheduler.
func New(c pool.Config) *Scheduler {
	return &Scheduler{
		config:    c,
		lengths:   speed.NewLengths(),
		surprise:  speed.NewOverrunFactor(),
		meter:     meter.New(),
		attempted: c.Epoch << rules.AttemptBits,
		unseen:    math.MaxInt,
	}
}

// Step does what the pool scheduler's Step does.
func (s *Scheduler) Step(now time.Duration, events []pool.Event) []pool.Effect {
	s.now = max(s.now, now)
	s.out = nil
	s.meter.Advance(s.now, len(s.in(queued)) > 0)
	for _, e := range events {
		s.take(e)
	}
	s.runAlarms()
	s.isolate()
	s.countTotals()
	s.grant()
	return s.out
}

// set starts an alarm in place of the one of the same kind.
func (s *Scheduler) set(of any, kind string, at time.Duration, do func()) {
	s.stop(of, kind)
	s.sequence++
	s.alarms = append(s.alarms, alarm{at, s.sequence, of, kind, do})
}

func (s *Scheduler) stop(of any, kind string) {
	s.alarms = slices.DeleteFunc(s.alarms, func(a alarm) bool { return a.of == of && a.kind == kind })
}

func (s *Scheduler) runAlarms() {
	for len(s.alarms) > 0 {
		first := slices.MinFunc(s.alarms, func(a, b alarm) int {
			return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.sequence, b.sequence))
		})
		if first.at > s.now {
			return
		}
		s.stop(first.of, first.kind)
		first.do()
	}
}

// in returns the requests in a state, in order of arrival.
func (s *Scheduler) in(x state) []*request {
	var out []*request
	for _, r := range s.requests {
		if r.state == x {
			out = append(out, r)
		}
	}
	return out
}

// order is a request's place among the tiers.
func (r *request) order() int {
	switch {
	case r.due:
		return r.Rank
	case r.late:
		return r.Rank + rules.LatePriorityOffset
	}
	return r.Rank + int(r.excess)*rules.ExcessPriorityOffset
}

// turn is when a request is to be served.
func (r *request) turn() time.Duration {
	switch {
	case r.before.Kept:
		return r.Deadline - rules.PromisedLead
	case r.FirstDue == 0:
		return r.Deadline
	case r.late:
		return r.Deadline + r.length()
	}
	return r.FirstDue + r.length()
}

// length is the slot time by which others go first.
func (r *request) length() time.Duration {
	if r.favoured {
		return 0
	}
	return r.cost
}

// inTier returns the requests of an order that are queued or held.
func (s *Scheduler) inTier(order int) []*request {
	var out []*request
	for _, r := range s.requests {
		if r.order() == order && (r.state == queued || r.state == held) {
			out = append(out, r)
		}
	}
	return out
}

// ranks returns the orders of all requests, highest tier first.
func (s *Scheduler) ranks() []int {
	var out []int
	for _, r := range s.requests {
		out = append(out, r.order())
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (s *Scheduler) find(id ident.Request) *request {
	for _, r := range s.requests {
		if r.ID == id {
			return r
		}
	}
	return nil
}

func (s *Scheduler) findAttempt(id ident.Request, a ident.Attempt) *attempt {
	for _, x := range s.attempts {
		if x.request.ID == id && x.id == a {
			return x
		}
	}
	return nil
}

func (s *Scheduler) removeRequest(r *request) {
	s.requests = slices.DeleteFunc(s.requests, func(x *request) bool { return x == r })
}

func (s *Scheduler) removeAttempt(a *attempt) {
	s.attempts = slices.DeleteFunc(s.attempts, func(x *attempt) bool { return x == a })
}

func (s *Scheduler) team(name ident.Team) resource.Team {
	for _, t := range s.teams {
		if t.Name == name {
			return t
		}
	}
	return resource.Team{Name: name}
}

func weight(t resource.Team) float64 {
	if t.Weight > 0 {
		return t.Weight
	}
	return 1
}

func (s *Scheduler) refuse(r *request, code result.Code) {
	if code == result.ShedTier || code == result.QueueFull {
		s.refuseForRoom(r, code)
		return
	}
	s.out = append(s.out, pool.Refuse{ID: r.ID, Host: r.Host, Code: code, RetryAfter: s.retryAfter(r.order()), Late: r.late})
}

func (s *Scheduler) refuseQuarantined(r *request) {
	s.out = append(s.out, pool.Refuse{ID: r.ID, Host: r.Host, Code: result.Quarantined, Late: r.late})
}
