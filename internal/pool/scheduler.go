package pool

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool/blocks"
	"github.com/trefoilchute/trefoilchute/internal/pool/meter"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/pool/speed"
)

// Scheduler decides for one pool. It isn't safe for concurrent use: one
// goroutine steps it. Its zero value is not usable; call New.
//
// The tables hold the entities; the systems run over them in the fixed order
// of Step. Invariants between steps:
//
//   - a request row is in exactly one place: in the queue, held, parked behind
//     its body, waiting to run alone, or with an attempt that is not settled;
//   - the in-flight count of an endpoint equals the number of its attempts
//     that hold a slot;
//   - a request that was refused, spilled, canceled or finished has no row.
type Scheduler struct {
	config Config
	now    time.Duration
	out    []Effect

	tiers     *tierTable
	teams     *teamTable
	endpoints *endpointTable
	requests  map[ident.Request]*request
	attempts  *attemptTable
	queue     *queue
	timers    *timers
	lengths   *speed.Lengths
	surprise  speed.OverrunFactor
	blocks    *blocks.Index
	meter     meter.Meter
	shares    meter.Shares
	sizes     meter.Sizes
	// objectives holds the ranks that have requests with objectives.
	objectives map[int]bool
	suspects   *suspectTable
	isolation  isolation
	bodies     *bodyTable
	remotes    remoteTable
	// running counts the attempts that hold a slot by rank.
	running    map[int]int
	sweepTimer timer
	// fresh are the requests to hold against all open endpoints in this step.
	fresh []*request
	// open is scratch space of grant: the endpoints with a free slot.
	// changed are those among them that have changed since the last step.
	open, changed []*endpoint
	// totalSlots and totalFree sum the slots of the endpoints that take work,
	// and those that are free, as of the start of the step and its grants.
	totalSlots, totalFree int
	// working is the number of those endpoints, and longPrefills the number
	// among them that have long prompts to prefill.
	working, longPrefills int
	// unseen is the rank of which requests were not looked at since the last
	// sweep; noRank if there is none.
	unseen int
	// closings are those of the last step.
	closings []Closing
	// home is scratch space of onlyHome.
	home [1]*endpoint
	// scratch is the candidate that is looked at.
	scratch candidate
	// matched is scratch space of matchPrefix.
	matched []int

	sequence    uint64
	lastAttempt uint64
}

// New returns a scheduler without endpoints, tiers and teams: a Configure
// event brings them.
func New(c Config) *Scheduler {
	s := &Scheduler{
		config:      c,
		tiers:       newTierTable(),
		teams:       newTeamTable(),
		endpoints:   newEndpointTable(),
		requests:    map[ident.Request]*request{},
		attempts:    newAttemptTable(),
		timers:      &timers{},
		lengths:     speed.NewLengths(),
		surprise:    speed.NewOverrunFactor(),
		blocks:      blocks.NewIndex(),
		meter:       meter.New(),
		objectives:  map[int]bool{},
		suspects:    newSuspectTable(),
		bodies:      newBodyTable(),
		running:     map[int]int{},
		unseen:      noRank,
		lastAttempt: c.Epoch << rules.AttemptBits,
	}
	s.queue = newQueue()
	return s
}

// Step takes in the events in their order, at a time that never falls, and
// returns what to do, in order. It may be called without events, which lets
// time pass.
func (s *Scheduler) Step(now time.Duration, events []Event) []Effect {
	s.now = max(s.now, now)
	s.out, s.closings = nil, nil
	s.meter.Advance(s.now, s.queue.waiting())
	for _, e := range events {
		s.take(e)
	}
	s.runTimers()
	s.isolate()
	s.countSlots()
	s.grant()
	return s.out
}

// NextWake returns when Step should be called next if no event comes before.
// The second result is false when there is nothing to wait for.
func (s *Scheduler) NextWake() (time.Duration, bool) {
	return s.timers.next()
}

func (s *Scheduler) emit(e Effect) {
	s.out = append(s.out, e)
}
