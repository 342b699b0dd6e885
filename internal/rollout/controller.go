package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

// Phase is the phase of a roll-out at a pool's scheduler.
type Phase int

const (
	// Waiting means that it is not known yet whether the order is decided. Candidates get
	// nothing.
	Waiting Phase = iota
	// Watching means that candidates get at most the permitted share, and are compared.
	Watching
	// Moving means that the version was judged good, and its share grows in steps.
	Moving
	// Moved means that candidates get everything, while the baseline ends what it runs.
	Moved
	// Finished means that the order is completed.
	Finished
	// Undone means that the order is rolled back. Candidates get nothing.
	Undone
)

// String returns the name of the phase as logged.
func (p Phase) String() string {
	return [...]string{"waiting", "watching", "moving", "moved", "completed", "rolled_back"}[p]
}

// Candidate is an endpoint of the order's version that is not leaving.
type Candidate struct {
	Name   ident.Endpoint
	Domain ident.Domain
	Slots  int
	// Usable is false while the endpoint is closed after failures.
	Usable bool
}

// Load is the state of a pool.
type Load struct {
	// Candidates are sorted by name.
	Candidates []Candidate
	// Baseline is the number of other endpoints that are not leaving, BaselineSlots their
	// slots, and BaselineForeign the number of requests that they run for others.
	Baseline, BaselineSlots, BaselineForeign int
	// CandidateInFlight and BaselineInFlight count the requests granted to or running at
	// endpoints of either kind.
	CandidateInFlight, BaselineInFlight int
	// Waiting is the number of requests that wait.
	Waiting int
}

// Step is a step of a roll-out, for the log.
type Step struct {
	Phase   Phase
	Share   float64
	Samples Samples
	Reason  string
	Elapsed time.Duration
}

const (
	// moveFraction is the last part of the time limit, in which a version that was judged
	// good takes over all traffic. A version may turn bad late, so it is watched for the
	// rest.
	moveFraction = 0.25
	// maxMoveFraction bounds that part where requests run for long.
	maxMoveFraction = 0.5
	// spareFraction, minSpare and maxSpare set how long before the limit the decision falls.
	// Writing it takes several seconds if the store is unstable.
	spareFraction = 1.0 / 12
	minSpare      = 2 * time.Second
	maxSpare      = 10 * time.Second
	// holdFraction is the part of the time to move for which each step of the share lasts,
	// and maxHoldPart bounds it by what is left of that time.
	holdFraction = 0.1
	maxHoldPart  = 5
	// freshFraction is the part of the time limit within which a scheduler that learns of an
	// order is taken to be its first, which may use its part of the slack.
	freshFraction = 0.1
	// slackPart is the part of the slack that a scheduler uses. The rest is for a second
	// scheduler in a partition.
	slackPart = 0.5
	// minSamples is the number of candidates' answers from which on a version is judged
	// good: of a version that fails a fifth, 20 are all good with a probability of 0.01.
	minSamples = 20
	// lateSamples is that number once half of the time to move is over: a scheduler that took
	// over late has few answers, and most versions are good.
	lateSamples = 10
	// inForceTime is how long a target must have had no other version until its order's
	// version counts as the one in force.
	inForceTime = 2 * time.Second
	// verdictInterval is the time after which a verdict is repeated.
	verdictInterval = 3 * time.Second
	// foreignWait bounds the wait for requests of others at the baseline's endpoints: their
	// number is an estimate.
	foreignWait = 5 * time.Second
	// carryMargin is the factor by which the slots of the candidates must exceed the mean of
	// requests in flight, unless they are as many as the baseline's.
	carryMargin = 1.25
	// maxShowing is the number of candidates that have to show a fault of the version. Where
	// machines differ in speed, two may both be slow ones.
	maxShowing = 3
	// inFlightWeight is the weight of a tick in that mean, and needDecay the part of its
	// peak that is forgotten per tick.
	inFlightWeight = 0.05
	needDecay      = 0.005
)

// moveShares are the steps of the share of a version that was judged good. The baseline keeps a
// part until the last step, for comparison.
var moveShares = []float64{0.3, 0.6, 0.9, 1}

// The levels at which a version is rolled back at once, at which it is not judged good at the
// end of the watch, and at which a candidate is set aside. They are tested a few hundred times
// per order, which the first accounts for.
var (
	rollbackLevel = level{alpha: 1e-6, effect: 0.04, bad: 6, score: 2.8, slowEffect: 0.08}
	finalLevel    = level{alpha: 1e-3, effect: 0.04, bad: 4, score: 2.5, slowEffect: 0.08}
	suspectLevel  = level{alpha: 1e-3, effect: 0.1, bad: 3, slowEffect: 0.1}
)

// Controller decides on one order at the scheduler of a pool. It responds to the answers of
// both versions, the requests of the pool, and the time. It is not safe for concurrent use.
type Controller struct {
	status Status
	bounds Bounds
	// limitAt is the time of the order's limit.
	limitAt time.Duration
	knownAt time.Duration
	known   bool
	// slack is the number of requests beyond the share that this scheduler may use.
	slack    float64
	exposure exposure
	evidence *evidence
	group    group
	phase    Phase
	// step is the index in moveShares, and steppedAt the time of the last step.
	step         int
	steppedAt    time.Duration
	baselineSeen bool
	// meanInFlight is the mean of requests in flight over some seconds, need its decaying
	// peak, mostBaselineSlots the most slots that the baseline had, and mostWaiting the peak
	// of waiting requests before the move.
	meanInFlight, need float64
	mostBaselineSlots  int
	mostWaiting        int
	// crowdedSince is the time since which candidates are full while requests wait.
	crowdedSince time.Duration
	verdict      Verdict
	decidedAt    time.Duration
	steps        []Step
	reason       string
}

// NewController returns a controller for an order.
func NewController(now time.Duration, status Status, bounds Bounds) *Controller {
	c := &Controller{evidence: newEvidence(), limitAt: math.MaxInt64}
	c.SetStatus(now, status, bounds)
	return c
}

// SetStatus takes over what the store says of the order.
func (c *Controller) SetStatus(now time.Duration, status Status, bounds Bounds) {
	c.status, c.bounds = status, bounds
	if !status.Known {
		if c.phase != Finished && c.phase != Undone {
			c.enter(now, Waiting, "it is not known whether the order is decided")
		}
		return
	}
	// A status may be told late, so the earliest limit is the right one.
	c.limitAt = min(c.limitAt, now-status.Elapsed+status.Order.Duration)
	if !c.known {
		c.known, c.knownAt = true, now
		if status.Elapsed < time.Duration(freshFraction*float64(status.Order.Duration)) {
			c.slack = slackPart * bounds.Slack
		}
	}
	switch {
	case status.State == Completed:
		c.enter(now, Finished, "the store has the decision")
	case status.State == RolledBack:
		c.enter(now, Undone, "the store has the decision")
	case c.phase == Waiting:
		c.enter(now, Watching, fmt.Sprintf("the order is known, with a slack of %.0f requests", c.slack))
	}
}

// enter changes the phase and records the step.
func (c *Controller) enter(now time.Duration, p Phase, reason string) {
	if c.phase == p {
		return
	}
	c.phase, c.steppedAt = p, now
	c.note(now, reason)
}

// note records a step for the log.
func (c *Controller) note(now time.Duration, reason string) {
	if reason == c.reason {
		return
	}
	c.reason = reason
	c.exposure.restart()
	c.steps = append(c.steps, Step{c.phase, c.Share(), c.evidence.total, reason, c.elapsed(now)})
}

// elapsed returns the time since the order was confirmed.
func (c *Controller) elapsed(now time.Duration) time.Duration {
	if !c.known {
		return 0
	}
	return now - c.limitAt + c.status.Order.Duration
}

// Phase returns the phase.
func (c *Controller) Phase() Phase { return c.phase }

// Order returns the order.
func (c *Controller) Order() Order { return c.status.Order }

// Samples returns the answers seen so far.
func (c *Controller) Samples() Samples { return c.evidence.total }

// Share returns the part of the requests that the candidates may get.
func (c *Controller) Share() float64 {
	switch c.phase {
	case Watching:
		return c.bounds.Share
	case Moving:
		return moveShares[c.step]
	case Moved, Finished:
		return 1
	case Waiting, Undone:
	}
	return 0
}

// TakeSteps returns the steps since the last call.
func (c *Controller) TakeSteps() []Step {
	list := c.steps
	c.steps = nil
	return list
}

// Observe records the end of a run. It reports whether the run says anything about its
// endpoint.
func (c *Controller) Observe(now time.Duration, x *Sample) bool {
	return c.evidence.observe(now, x)
}

// Tick lets time pass. It returns a verdict once the order is decided, and again while the
// store does not have it.
func (c *Controller) Tick(now time.Duration, load *Load) (Verdict, bool) {
	c.observeLoad(load)
	c.evidence.advance(now)
	switch c.phase {
	case Watching, Moving, Moved:
		c.decide(now, load)
	case Waiting, Finished, Undone:
	}
	if c.verdict.State == Running || c.status.State != Running || c.decidedAt > 0 && now-c.decidedAt < verdictInterval {
		return Verdict{}, false
	}
	c.decidedAt = max(1, now)
	return c.verdict, true
}

// observeLoad learns how many requests the candidates have to carry.
func (c *Controller) observeLoad(load *Load) {
	c.meanInFlight += inFlightWeight * (float64(load.CandidateInFlight+load.BaselineInFlight) - c.meanInFlight)
	c.need = max(c.need*(1-needDecay), c.meanInFlight)
	c.mostBaselineSlots = max(c.mostBaselineSlots, load.BaselineSlots)
	c.baselineSeen = c.baselineSeen || load.Baseline > 0
	if c.phase == Watching {
		c.mostWaiting = max(c.mostWaiting, load.Waiting)
	}
}

// decide takes the next step of an order that is running.
func (c *Controller) decide(now time.Duration, load *Load) {
	l := rollbackLevel.among(len(load.Candidates))
	if f, found := c.evidence.find(l); found {
		c.rollBack(now, "worse than the baseline: "+f.describe())
		return
	}
	switch c.phase {
	case Watching:
		c.watch(now, load)
	case Moving:
		c.move(now, load)
	case Moved:
		c.complete(now, load)
	default:
	}
}

// rollBack decides against the version. This takes effect at once.
func (c *Controller) rollBack(now time.Duration, reason string) {
	c.end(now, RolledBack, Undone, reason)
}

func (c *Controller) end(now time.Duration, state State, p Phase, reason string) {
	c.verdict = Verdict{Order: c.status.Order, State: state, Reason: reason, Samples: c.evidence.total}
	c.enter(now, p, reason)
}

// spare is how long before the limit the decision falls.
func (c *Controller) spare() time.Duration {
	d := c.status.Order.Duration
	return min(max(time.Duration(spareFraction*float64(d)), min(minSpare, d/4)), maxSpare)
}

// moveTime is the time that the move of all traffic may take, up to the limit.
func (c *Controller) moveTime() time.Duration {
	d := float64(c.status.Order.Duration)
	// The steps take a third of the time to move, and the longest runs need the rest.
	longest := 1.6*float64(c.evidence.longest) + float64(c.spare())
	return time.Duration(min(max(moveFraction*d, longest), maxMoveFraction*d))
}

// watch compares the versions until it is time to judge.
func (c *Controller) watch(now time.Duration, load *Load) {
	left := c.limitAt - now
	if len(load.Candidates) > 0 && !c.baselineSeen {
		if now-c.knownAt >= inForceTime {
			c.end(now, Completed, Finished, "the version is already in force: no endpoint has another")
		}
		return
	}
	if c.overdue(now, load) {
		return
	}
	c.arrange(now, load)
	least := minSamples
	if left < c.moveTime()/2 {
		least = lateSamples
	}
	if left > c.moveTime() || c.evidence.total.Candidate < least || len(load.Candidates) == 0 || !c.status.Confirmed {
		return
	}
	l := finalLevel.among(len(load.Candidates))
	if _, found := c.evidence.find(l); found || !c.carries(load, moveShares[0]) {
		return
	}
	c.step = 0
	c.enter(now, Moving, "judged good: no worse than the baseline")
}

// among returns a level for a number of candidates.
func (l level) among(candidates int) level {
	l.candidates, l.endpoints = candidates, min(candidates, maxShowing)
	return l
}

// overdue rolls a version back that can't be completed any more by the limit.
func (c *Controller) overdue(now time.Duration, load *Load) bool {
	if c.limitAt-now > c.spare() {
		return false
	}
	l := finalLevel.among(len(load.Candidates))
	f, found := c.evidence.find(l)
	switch {
	case len(load.Candidates) == 0:
		c.rollBack(now, "not judged by the limit: no endpoint has the version")
	case found:
		c.rollBack(now, "not judged good by the limit: "+f.describe())
	case c.evidence.total.Candidate < lateSamples:
		c.rollBack(now, "not judged by the limit: too few answers")
	default:
		c.rollBack(now, "not moved by the limit: the new endpoints can't carry the load, or the store is not in reach")
	}
	return true
}

// carries reports whether the candidates can carry a share of the load.
func (c *Controller) carries(load *Load, share float64) bool {
	need := c.need * carryMargin
	if c.mostBaselineSlots > 0 {
		need = min(need, float64(c.mostBaselineSlots))
	}
	return float64(usableSlots(load)) >= share*need
}

func usableSlots(load *Load) int {
	slots := 0
	for _, x := range load.Candidates {
		if x.Usable {
			slots += x.Slots
		}
	}
	return slots
}

// move raises the share of a version that was judged good.
func (c *Controller) move(now time.Duration, load *Load) {
	if c.overdue(now, load) {
		return
	}
	hold := min(time.Duration(holdFraction*float64(c.moveTime()-c.spare())), (c.limitAt-now-c.spare())/maxHoldPart)
	if now-c.steppedAt < hold || !c.status.Confirmed || c.crowded(now, load) {
		return
	}
	next := c.step + 1
	if !c.carries(load, moveShares[next]) {
		c.note(now, "the new endpoints can't carry a larger share")
		return
	}
	c.step, c.steppedAt = next, now
	if next == len(moveShares)-1 {
		c.enter(now, Moved, "all traffic moves")
		return
	}
	c.note(now, fmt.Sprintf("the share grows to %v", c.Share()))
}

// crowdedTime is how long requests must wait while the candidates are full until the share
// goes back.
const crowdedTime = time.Second

// crowded reports whether the candidates are full while more requests wait than before the
// move.
func (c *Controller) crowded(now time.Duration, load *Load) bool {
	full := load.CandidateInFlight >= usableSlots(load)
	if !full || load.Waiting <= 2*c.mostWaiting+usableSlots(load)/4 {
		c.crowdedSince = 0
		return false
	}
	if c.crowdedSince == 0 {
		c.crowdedSince = now
	}
	return true
}

// complete ends the order once the baseline is idle.
func (c *Controller) complete(now time.Duration, load *Load) {
	late := c.limitAt-now <= c.spare()
	if c.crowded(now, load) && load.Baseline > 0 && !late {
		if now-c.crowdedSince >= crowdedTime {
			c.step, c.crowdedSince = 1, 0
			c.enter(now, Moving, "the new endpoints don't carry the load: the share goes back")
		}
		return
	}
	if !c.status.Confirmed || !c.carries(load, 1) {
		if late && c.status.Confirmed {
			c.overdue(now, load)
		}
		return
	}
	l := finalLevel.among(len(load.Candidates))
	if f, found := c.evidence.find(l); found {
		if late {
			c.rollBack(now, "not judged good by the limit: "+f.describe())
		}
		return
	}
	busy := load.BaselineInFlight > 0 || load.BaselineForeign > 0 && now-c.steppedAt < foreignWait
	if busy && c.limitAt-now > c.spare()/2 {
		return
	}
	c.end(now, Completed, Finished, fmt.Sprintf("good, all traffic has moved, and the old endpoints run %d requests", load.BaselineInFlight))
}

// describe returns a finding as text.
func (f *finding) describe() string {
	where := "over all routes"
	if f.route != anyRoute {
		where = fmt.Sprintf("on route %x", f.route)
	}
	if f.factor > 0 {
		return fmt.Sprintf("answers take %.1f times as long %s", f.factor, where)
	}
	what := "failed"
	if f.kind == slowing {
		what = "slow"
	}
	return fmt.Sprintf("%.0f of %.0f answers %s %s, %.1f expected", f.tally.bad, f.tally.n, what, where, f.tally.expected)
}
