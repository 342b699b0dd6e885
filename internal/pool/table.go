package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// GrantLifetime is how long a custodian may use a grant.
const GrantLifetime = rules.GrantLifetime

// phase is where a request stands.
type phase int

const (
	phaseQueued phase = iota
	// phaseHeld is chosen and waits for the right endpoint.
	phaseHeld
	// phaseParked waits for a request with the same body to end.
	phaseParked
	// phaseIsolated waits to run alone.
	phaseIsolated
	phaseGranted
	phaseRunning
	// phaseGone has been taken out from where it waited.
	phaseGone
)

// request is the row of a request that waits or has an unsettled attempt.
type request struct {
	Request
	// sequence orders requests by arrival.
	sequence uint64
	phase    phase
	// attempt is the latest attempt, if the phase isn't phaseQueued.
	attempt *attempt
	// cost is the estimated slot time on an endpoint of average speed.
	cost time.Duration
	// favoured says that its length is no reason to let others go first: the longest of
	// its tier have been served too seldom.
	favoured bool
	// mean is the number of tokens expected to be generated.
	mean float64
	// best is the most prompt tokens cached at any endpoint when last looked.
	best int
	// home is the endpoint that has them; nil if none has any. heldForHome says
	// that the request was held to wait for it.
	home        *endpoint
	heldForHome bool
	// blocked says why no endpoint suited it when it was last held.
	blocked string
	// recheck is the earliest time at which it may be found hopeless.
	recheck time.Duration
	// trial says that it runs though it is quarantined.
	trial bool
	// urgent says that there is no time left for caution.
	urgent bool
	// late says that the objective for the first token can't be met any more.
	late      bool
	lateTimer timer
	// heldUntil ends the wait for the endpoint with the prefix; 0: no wait yet.
	heldUntil time.Duration
	holdTimer timer
	// position is the index in the team's heap while queued.
	position int
	timer    timer
}

// whyHeld adds to a refusal's reason why a request is held; empty if it isn't.
func (r *request) whyHeld() string {
	if r.phase != phaseHeld {
		return ""
	}
	return ", held: " + r.blocked
}

// waits says whether the request has no attempt.
func (r *request) waits() bool {
	return r.phase < phaseGranted
}

// attempt is the row of one grant and of what came of it.
type attempt struct {
	id       ident.Attempt
	request  Request
	endpoint *endpoint
	granted  time.Duration
	started  bool
	// orphaned says that its custodian is lost.
	orphaned bool
	// cached is the part of the prompt expected in the endpoint's cache and
	// uncached the part counted as pending until the first token.
	cached, uncached int
	// ahead is the number of tokens to prefill up to the end of this prompt,
	// and others the number of requests in flight beside it, at the grant.
	ahead, others int
	// expected is the time that the request was expected to take.
	expected time.Duration
	// firstSeen says that the first token came.
	firstSeen bool
	// blamed says that a crash of the endpoint was counted against it.
	blamed bool
	// holds says that the attempt counts in its endpoint's in-flight number.
	holds bool
	// holdsBody says that it counts as in flight with its body.
	holdsBody bool
	timer     timer
}

// attemptKey identifies an attempt also across epochs, whose numbers may
// meet.
type attemptKey struct {
	request ident.Request
	attempt ident.Attempt
}

// attemptTable holds the attempts that are unsettled or void for a short time.
type attemptTable struct {
	rows map[attemptKey]*attempt
}

func newAttemptTable() *attemptTable {
	return &attemptTable{rows: map[attemptKey]*attempt{}}
}

func (t *attemptTable) find(r ident.Request, a ident.Attempt) *attempt {
	return t.rows[attemptKey{r, a}]
}

func (t *attemptTable) put(a *attempt) {
	t.rows[attemptKey{a.request.ID, a.id}] = a
}

// on returns the attempts that hold a slot of an endpoint, in the order of
// their grants.
func (t *attemptTable) on(e *endpoint) []*attempt {
	var out []*attempt
	for _, a := range t.rows {
		if a.endpoint == e && a.holds {
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

// team is the row of a team, declared or met in a request.
type team struct {
	resource.Team
	// inFlight counts the team's attempts that hold a slot.
	inFlight int
	// waiting counts the team's queued requests over all tiers.
	waiting int
}

// atLimit says that the team may have no further request at endpoints.
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

// get returns the team's row and makes it if needed: a request may be older
// than the configuration that removed its team.
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
