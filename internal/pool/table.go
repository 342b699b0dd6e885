package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool/promise"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/pool/share"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// GrantLifetime is how long a custodian may use a grant.
const GrantLifetime = rules.GrantLifetime

// phase is the state of a request.
type phase int

const (
	phaseQueued phase = iota
	// phaseHeld means that the request has been selected and waits for a suitable
	// endpoint.
	phaseHeld
	// phaseParked means that the request waits until another with the same body, or with
	// the same suspected prompt part, ends.
	phaseParked
	// phaseIsolated means that the request waits to run in isolation.
	phaseIsolated
	phaseGranted
	phaseRunning
	// phaseWithdrawn means that the request has been removed from where it waited.
	phaseWithdrawn
)

// request is the row of a request that waits or has an unsettled attempt.
type request struct {
	Request
	// sequence orders requests by arrival.
	sequence uint64
	phase    phase
	// attempt is the latest attempt; nil while the request waits.
	attempt *attempt
	// cost is the estimated slot time on an endpoint of average speed.
	cost time.Duration
	// starved means that the longest requests of the tier have been granted too rarely,
	// so that the length of this one doesn't put it behind shorter ones.
	starved bool
	// outputTokens is the expected number of generated tokens.
	outputTokens float64
	// bestCached is the largest number of prompt tokens cached at any endpoint when
	// last looked up.
	bestCached int
	// cacheEndpoint is the endpoint that has them; nil if none has any. heldForCache
	// means that the request was held to wait for that endpoint.
	cacheEndpoint *endpoint
	heldForCache  bool
	// holdReason says why no endpoint suited the request when it was last held.
	holdReason string
	// recheckAt is the earliest time at which the request may be refused as too late.
	recheckAt time.Duration
	// parkedOn is the part for which the request waits while it is parked; nil: its body.
	parkedOn *suspect
	// onTrial means that the request may run although it is quarantined.
	onTrial bool
	// urgent means that the cautious estimate no longer fits the deadline.
	urgent bool
	// late means that the request can't meet its objective for the first token any
	// more.
	late      bool
	lateTimer timer
	// excess is how the request stands to its team's share while the pool is full.
	excess share.Level
	// before is what was known of the request when it arrived.
	before promise.Return
	// due means that the request, which returned at its promised time, is served before the
	// newcomers of its tier. dueAt is when it becomes due.
	due   bool
	dueAt time.Duration
	// heldUntil is the end of the wait for the endpoint with the prefix; 0: not held
	// yet.
	heldUntil time.Duration
	holdTimer timer
	// heapIndex is the index in the team's heap while the request is queued.
	heapIndex     int
	deadlineTimer timer
}

// heldSuffix returns the text that adds to a refusal's reason why the request is held,
// or an empty text if it isn't.
func (r *request) heldSuffix() string {
	if r.phase != phaseHeld {
		return ""
	}
	return ", held: " + r.holdReason
}

// isWaiting reports whether the request has no attempt.
func (r *request) isWaiting() bool {
	return r.phase < phaseGranted
}

// attempt is the row of one grant and of its outcome.
type attempt struct {
	id       ident.Attempt
	request  Request
	endpoint *endpoint
	granted  time.Duration
	started  bool
	// orphaned means that the custodian is lost.
	orphaned bool
	// cached is the part of the prompt that is expected in the endpoint's cache, and
	// uncached the part that counts as pending until the first token.
	cached, uncached int
	// prefillBacklog is the number of tokens to prefill up to the end of this prompt,
	// and concurrent the number of other requests in flight on the endpoint, both at
	// the time of the grant.
	prefillBacklog, concurrent int
	// expectedTotal is the estimated time of the whole request.
	expectedTotal time.Duration
	sawFirstToken bool
	firstTokenAt  time.Duration
	// heldParts are the suspected parts for which the attempt counts as unproven.
	heldParts  []*suspect
	proofTimer timer
	// blamed means that a crash of the endpoint has been counted against the request.
	blamed  bool
	rollout rolloutCount
	// holdsSlot means that the attempt counts in its endpoint's in-flight number.
	holdsSlot bool
	// holdsBody means that the attempt counts as in flight with its body.
	holdsBody bool
	timer     timer
}

// attemptKey identifies an attempt. Attempt numbers alone may repeat across epochs.
type attemptKey struct {
	request ident.Request
	attempt ident.Attempt
}

// attemptTable holds the attempts that are unsettled, and for a limited time those
// whose grant expired.
type attemptTable struct {
	rows map[attemptKey]*attempt
}

func newAttemptTable() *attemptTable {
	return &attemptTable{rows: map[attemptKey]*attempt{}}
}

func (t *attemptTable) find(r ident.Request, a ident.Attempt) *attempt {
	return t.rows[attemptKey{r, a}]
}

func (t *attemptTable) add(a *attempt) {
	t.rows[attemptKey{a.request.ID, a.id}] = a
}

// onEndpoint returns the attempts that occupy a slot of an endpoint, in the order of
// their grants.
func (t *attemptTable) onEndpoint(e *endpoint) []*attempt {
	var out []*attempt
	for _, a := range t.rows {
		if a.endpoint == e && a.holdsSlot {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.granted, b.granted), cmp.Compare(a.request.ID, b.request.ID))
	})
	return out
}

func (t *attemptTable) remove(a *attempt) {
	delete(t.rows, attemptKey{a.request.ID, a.id})
}

// tierTable holds the declared tiers by rank.
type tierTable struct {
	byRank map[int]resource.Tier
}

func newTierTable() *tierTable {
	return &tierTable{byRank: map[int]resource.Tier{}}
}

func (t *tierTable) configure(tiers []resource.Tier) {
	t.byRank = make(map[int]resource.Tier, len(tiers))
	for _, tier := range tiers {
		t.byRank[tier.Rank] = tier
	}
}

// team is the row of a team that is declared or that a request names.
type team struct {
	resource.Team
	// inFlight counts the team's attempts that occupy a slot.
	inFlight int
	// waiting counts the team's queued and held requests over all tiers.
	waiting int
}

// atLimit reports whether the team has its most requests in flight.
func (t *team) atLimit() bool {
	return t.MaxInFlight > 0 && t.inFlight >= t.MaxInFlight
}

func (t *team) weight() float64 {
	if t.Weight > 0 {
		return t.Weight
	}
	return 1
}

// teamTable holds the teams by name.
type teamTable struct {
	rows map[ident.Team]*team
}

func newTeamTable() *teamTable {
	return &teamTable{rows: map[ident.Team]*team{}}
}

// get returns the team's row and creates it if needed: a request may be older than the
// configuration that removed its team.
func (t *teamTable) get(name ident.Team) *team {
	row := t.rows[name]
	if row == nil {
		row = &team{Team: resource.Team{Name: name}}
		t.rows[name] = row
	}
	return row
}

func (t *teamTable) configure(teams []resource.Team) {
	declared := make(map[ident.Team]bool, len(teams))
	for _, d := range teams {
		declared[d.Name] = true
		t.get(d.Name).Team = d
	}
	for name, row := range t.rows {
		if declared[name] {
			continue
		}
		row.Team = resource.Team{Name: name}
		if row.inFlight == 0 && row.waiting == 0 {
			delete(t.rows, name)
		}
	}
}
