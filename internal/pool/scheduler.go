package pool

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool/blocks"
	"github.com/trefoilchute/trefoilchute/internal/pool/domains"
	"github.com/trefoilchute/trefoilchute/internal/pool/meter"
	"github.com/trefoilchute/trefoilchute/internal/pool/promise"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/pool/share"
	"github.com/trefoilchute/trefoilchute/internal/pool/speed"
)

// Scheduler makes the scheduling decisions of one pool. It is not safe for concurrent
// use: a single goroutine calls Step. The zero value is not usable; call New.
//
// The tables hold the rows of the entities, and Step runs over them in a fixed order.
// Invariants between steps:
//
//   - a request with a row is in exactly one place: queued, held, parked behind its
//     body, waiting to run in isolation, or with an unsettled attempt;
//   - the in-flight count of an endpoint equals the number of its attempts that
//     occupy a slot;
//   - a request that was refused, spilled, canceled or finished has no row.
type Scheduler struct {
	config Config
	// now is the time of the current step, and effects are what it has decided so far.
	now     time.Duration
	effects []Effect

	tiers     *tierTable
	teams     *teamTable
	endpoints *endpointTable
	requests  map[ident.Request]*request
	attempts  *attemptTable
	queue     *queue
	timers    *timers
	lengths   *speed.Lengths
	// overrun is the factor by which few requests exceed their estimated time.
	overrun speed.OverrunFactor
	blocks  *blocks.Index
	meter   meter.Meter
	shares  meter.Shares
	sizes   meter.Sizes
	// ranksWithObjectives holds the ranks that have had requests with objectives.
	ranksWithObjectives map[int]bool
	suspects            *suspectTable
	// parts holds the suspects among prompt parts, by their fingerprint.
	parts     *suspectTable
	isolation isolation
	// rollout is the order to move to a version that is in force; nil if there is none.
	rollout *rolloutState
	bodies  *bodyTable
	remotes remoteTable
	// promises holds the refusals for lack of room, and when their callers were told to return.
	promises promise.Book
	// domains prices placements outside the custodian's failure domain.
	domains domains.Ledger
	// teamShares measures what each team sends.
	teamShares share.Table
	// lendingUntil is the end of the time in which slots are kept for teams within their share.
	lendingUntil time.Duration
	// runningByRank counts the attempts that occupy a slot.
	runningByRank map[int]int
	sweepTimer    timer
	// toExamine holds the requests to match against all open endpoints in this step.
	toExamine []*request
	// open is scratch space of grant: the endpoints with a free slot. changed holds
	// those among them that have changed since the last step.
	open, changed []*endpoint
	// totalSlots and totalFreeSlots sum the slots and the free slots of the available
	// endpoints, as of the start of the step and updated by its grants.
	totalSlots, totalFreeSlots int
	// availableEndpoints is the number of endpoints that may get grants, and
	// longPrefillEndpoints the number of these that have long prompts to prefill.
	availableEndpoints, longPrefillEndpoints int
	// unexaminedPriority is the priority from which some requests have not been
	// examined since the last sweep; noPriority if there is none.
	unexaminedPriority int
	// closings are the endpoints that the last step closed.
	closings []Closing
	// cacheEndpointScratch is scratch space of onlyCacheEndpoint.
	cacheEndpointScratch [1]*endpoint
	// scratchCandidate is the candidate that is being examined.
	scratchCandidate candidate
	// matched is scratch space of matchPrefix: the number of leading blocks of a prompt
	// that each endpoint has cached, by endpoint number.
	matched []int

	sequence    uint64
	lastAttempt uint64
}

// New returns a scheduler without endpoints, tiers and teams. These come with a
// Configure event.
func New(c Config) *Scheduler {
	s := &Scheduler{
		config:              c,
		tiers:               newTierTable(),
		teams:               newTeamTable(),
		endpoints:           newEndpointTable(),
		requests:            map[ident.Request]*request{},
		attempts:            newAttemptTable(),
		timers:              &timers{},
		lengths:             speed.NewLengths(),
		overrun:             speed.NewOverrunFactor(),
		blocks:              blocks.NewIndex(),
		meter:               meter.New(),
		ranksWithObjectives: map[int]bool{},
		suspects:            newSuspectTable(rules.MaxSuspects),
		parts:               newSuspectTable(rules.MaxSuspectParts),
		bodies:              newBodyTable(),
		runningByRank:       map[int]int{},
		unexaminedPriority:  noPriority,
		domains:             domains.NewLedger(c.Domains),
		lastAttempt:         c.Epoch << rules.AttemptBits,
	}
	s.queue = newQueue()
	return s
}

// Step applies the events in their order and returns the effects, also in order. The
// time must not go back. Step may be called without events to let time pass.
func (s *Scheduler) Step(now time.Duration, events []Event) []Effect {
	s.now = max(s.now, now)
	s.effects, s.closings = nil, nil
	s.meter.Advance(s.now, s.queue.waiting())
	for _, e := range events {
		s.apply(e)
	}
	s.runTimers()
	s.runRollout()
	s.isolate()
	s.countSlots()
	s.grant()
	return s.effects
}

// NextWake returns when Step should be called next if no event comes before. The
// second result is false if nothing is scheduled.
func (s *Scheduler) NextWake() (time.Duration, bool) {
	return s.timers.next()
}

func (s *Scheduler) emit(e Effect) {
	s.effects = append(s.effects, e)
}
