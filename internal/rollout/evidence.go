package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

const (
	// A stratum is closed when both versions have this many answers, or when it is old.
	stratumCandidates = 4
	stratumBaseline   = 20
	stratumAge        = 5 * time.Second
	// recentAnswers is the number of answers of candidates after which earlier ones have half
	// their weight in the recent tallies, which find a version that turns bad.
	recentAnswers = 60
	// lossesCounted is the number of runs broken off at one endpoint within lossWindow that
	// count: one crash ends all that the endpoint runs.
	lossesCounted = 2
	lossWindow    = time.Second
	// unmatchedRate is the least rate of bad answers that is expected where no answer of the
	// baseline of the same time compares: an outside fault can't be told from a bad version.
	unmatchedRate = 0.1
	// longestMemory is the number of runs over which the time of the longest one decays.
	longestMemory = 20000
)

// kind is a way in which answers are bad.
type kind int

const (
	// failing answers are not complete and successful.
	failing kind = iota
	// slowing answers take several times as long as usual at their endpoint.
	slowing
	kinds
)

// tallies holds a tally of each kind.
type tallies [kinds]tally

func (t *tallies) add(x *tallies) {
	for k := range t {
		t[k].add(x[k])
	}
}

// tally counts answers, bad ones, and the bad ones that are expected at the baseline's rate.
type tally struct{ n, bad, expected float64 }

func (t *tally) add(x tally) {
	t.n += x.n
	t.bad += x.bad
	t.expected += x.expected
}

func (t *tally) scale(f float64) {
	t.n *= f
	t.bad *= f
	t.expected *= f
}

// excess is the number of bad answers beyond the expected ones.
func (t *tally) excess() float64 { return t.bad - t.expected }

// level is what evidence has to reach to count.
type level struct {
	// alpha is the probability below which bad answers are not due to chance. They have to be
	// at least bad many, and to exceed the expected ones by a part of effect of all answers.
	alpha, effect, bad float64
	// slowEffect is the effect for slow answers: a neighbour's noise makes some slow, several
	// at a time.
	slowEffect float64
	// score is the number of standard errors by which candidates have to be slower.
	score float64
	// endpoints is the number of candidates that have to show it, if it is above 1. They have
	// to be two thirds of those that were tested, and the others have to reach the level rest
	// without the worst: a single endpoint may be at fault itself.
	endpoints int
	// candidates is the number of candidates.
	candidates int
}

// of returns the level for a kind of bad answers.
func (l level) of(k kind) level {
	if k == slowing {
		l.effect = l.slowEffect
	}
	return l
}

// testedAnswers is the number of answers from which on a candidate counts as tested.
const testedAnswers = 3

// rest is the level for the evidence without the worst endpoint.
var rest = level{alpha: 0.005, effect: 0.03, bad: 2}

// reaches reports whether a tally reaches a level.
func (t *tally) reaches(l level) bool {
	return t.bad >= l.bad && t.bad >= 2*t.expected && t.excess() >= l.effect*t.n && poissonTail(t.bad, t.expected) < l.alpha
}

// poissonTail returns the probability that a Poisson variable with the given mean is at least
// k. For k that is not whole it interpolates.
func poissonTail(k, mean float64) float64 {
	if k <= 0 {
		return 1
	}
	if mean <= 0 {
		return 0
	}
	// The tail is the regularized lower incomplete gamma function P(k, mean), here by its
	// series, which converges fast for mean < k+1.
	term := 1 / k
	sum := term
	for i := 1; i < 1000 && term > sum*1e-12; i++ {
		term *= mean / (k + float64(i))
		sum += term
	}
	logGamma, _ := math.Lgamma(k)
	return min(1, sum*math.Exp(k*math.Log(mean)-mean-logGamma))
}

// stratumKey identifies runs that compare: of one route, at endpoints of one domain, from
// inside or outside of it. A route of anyRoute and a domain of "" mean all.
type stratumKey struct {
	route  uint64
	domain ident.Domain
	local  bool
}

// stratum holds the answers of a limited time that compare.
type stratum struct {
	since     time.Duration
	candidate map[ident.Endpoint]tallies
	// answers counts the candidates' answers, and baseline those of the baseline.
	answers  float64
	baseline tallies
}

// add counts an answer.
func (x *stratum) add(s *Sample, one *tallies) {
	if !s.Candidate {
		x.baseline.add(one)
		return
	}
	t := x.candidate[s.Endpoint]
	t.add(one)
	x.candidate[s.Endpoint] = t
	x.answers++
}

// cellKey identifies the tallies of one candidate on one route.
type cellKey struct {
	route    uint64
	endpoint ident.Endpoint
}

// cell holds the tallies of all answers and of the recent ones.
type cell struct{ all, recent tallies }

// evidence compares the answers of candidates and baseline.
type evidence struct {
	usual map[uint64]*usuals
	open  map[stratumKey]*stratum
	cells map[cellKey]*cell
	// speeds holds the endpoints' speeds by route, and under anyRoute over all.
	speeds map[uint64]*speeds
	losses map[ident.Endpoint]lossCount
	// total sums up all answers, for verdicts, and baseline those of the baseline by kind.
	total    Samples
	baseline tallies
	// longest is the time that the longest runs of the baseline take; it decays.
	longest time.Duration
}

// lossCount counts the recent runs broken off at an endpoint.
type lossCount struct {
	at    time.Duration
	count int
}

func newEvidence() *evidence {
	return &evidence{
		usual: map[uint64]*usuals{}, open: map[stratumKey]*stratum{}, cells: map[cellKey]*cell{},
		speeds: map[uint64]*speeds{anyRoute: newSpeeds()}, losses: map[ident.Endpoint]lossCount{},
	}
}

// observe records the end of a run. It reports whether the run says anything about its
// endpoint.
func (v *evidence) observe(now time.Duration, x *Sample) bool {
	u := v.usual[x.Route]
	if u == nil {
		u = &usuals{}
		v.usual[x.Route] = u
	}
	slowness := u.slowness(x)
	slow := slowness >= slowFactor*v.speeds[anyRoute].factor(x)
	if x.Cut && !slow || x.Broken && v.repeatedLoss(now, x.Endpoint) {
		return false
	}
	if !x.Failed && slowness > 0 {
		v.speeds[anyRoute].observe(x, slowness)
		if v.speeds[x.Route] == nil {
			v.speeds[x.Route] = newSpeeds()
		}
		v.speeds[x.Route].observe(x, slowness)
	}
	if !x.Candidate && !x.Failed && !x.Cut {
		u.first.observe(x.First)
		u.total.observe(x.Total)
		v.longest = max(x.Took, v.longest-v.longest/longestMemory)
	}
	key := stratumKey{x.Route, x.Domain, x.Local}
	s := v.open[key]
	if s == nil {
		s = &stratum{since: now, candidate: map[ident.Endpoint]tallies{}}
		v.open[key] = s
	}
	one := tallies{{n: 1}, {n: 1}}
	switch {
	case x.Failed:
		// A failed answer says nothing about the time of others.
		one[failing].bad, one[slowing].n = 1, 0
	case slow:
		one[slowing].bad = 1
	}
	s.add(x, &one)
	if !x.Candidate {
		v.baseline.add(&one)
	}
	v.total.count(x.Candidate, x.Failed || slow || slowness >= slowFactor)
	return true
}

func (s *Samples) count(candidate, bad bool) {
	n, badly := &s.Baseline, &s.BaselineBad
	if candidate {
		n, badly = &s.Candidate, &s.CandidateBad
	}
	*n++
	if bad {
		*badly++
	}
}

// repeatedLoss reports whether as many runs as count were already broken off at an endpoint.
func (v *evidence) repeatedLoss(now time.Duration, e ident.Endpoint) bool {
	l := v.losses[e]
	if l.count == 0 || now-l.at > lossWindow {
		l = lossCount{at: now}
	}
	l.count++
	v.losses[e] = l
	return l.count > lossesCounted
}

// advance closes the strata that are complete.
func (v *evidence) advance(now time.Duration) {
	v.speeds[anyRoute].update()
	var done []stratumKey
	for key, s := range v.open {
		if s.answers >= stratumCandidates && s.baseline[failing].n >= stratumBaseline || now-s.since >= stratumAge {
			done = append(done, key)
		}
	}
	slices.SortFunc(done, compareStrata)
	closed := map[cellKey]tallies{}
	for _, key := range done {
		v.compare(key, closed)
	}
	for _, key := range done {
		delete(v.open, key)
	}
	addCells(v.cells, closed)
}

// addCells adds tallies to cells, whose recent tallies they outdate.
func addCells(cells map[cellKey]*cell, list map[cellKey]tallies) {
	n := 0.0
	for _, t := range list {
		n += max(t[failing].n, t[slowing].n)
	}
	weight := math.Exp2(-n / recentAnswers)
	for _, c := range cells {
		for k := range c.recent {
			c.recent[k].scale(weight)
		}
	}
	for key, t := range list {
		if cells[key] == nil {
			cells[key] = &cell{}
		}
		cells[key].all.add(&t)
		cells[key].recent.add(&t)
	}
}

// compare adds the candidates' answers of an open stratum, with the number of bad ones that the
// baseline's rate lets expect, to tallies.
func (v *evidence) compare(key stratumKey, to map[cellKey]tallies) {
	s := v.open[key]
	if s.answers == 0 {
		return
	}
	rate, known := v.baselineRate(key)
	if !known {
		return
	}
	for e, t := range s.candidate {
		for k := range t {
			t[k].expected = rate[k] * t[k].n
		}
		sum := to[cellKey{key.route, e}]
		sum.add(&t)
		to[cellKey{key.route, e}] = sum
	}
}

func compareStrata(a, b stratumKey) int {
	return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.domain, b.domain), boolOrder(a.local)-boolOrder(b.local))
}

func boolOrder(b bool) int {
	if b {
		return 1
	}
	return 0
}

// baselineRate returns the rates of bad answers expected in a stratum, or false if nothing
// compares. Where the baseline has no answers in the stratum itself, other routes of the same
// domain compare, or other domains if no link between domains is involved.
func (v *evidence) baselineRate(key stratumKey) ([kinds]float64, bool) {
	if own := &v.open[key].baseline; own[failing].n > 0 {
		return v.rates(own), true
	}
	var sameLink, sameRoute, local, every tallies
	for k, s := range v.open {
		every.add(&s.baseline)
		if k.domain == key.domain && k.local == key.local {
			sameLink.add(&s.baseline)
		}
		if key.local && k.local {
			local.add(&s.baseline)
			if k.route == key.route {
				sameRoute.add(&s.baseline)
			}
		}
	}
	for _, sum := range []*tallies{&sameLink, &sameRoute, &local} {
		if sum[failing].n > 0 {
			return v.rates(sum), true
		}
	}
	if every[failing].n > 0 {
		return [kinds]float64{}, false
	}
	rates := v.rates(&tallies{})
	for k := range rates {
		rates[k] = max(unmatchedRate, rates[k])
	}
	return rates, true
}

// rates returns the rates of bad answers of a part of the baseline's answers, and of one more
// answer at the rate of the whole order: few good answers are no proof that none is bad.
func (v *evidence) rates(t *tallies) [kinds]float64 {
	var list [kinds]float64
	for k := range t {
		usual := (v.baseline[k].bad + 0.5) / (v.baseline[k].n + 1)
		list[k] = (t[k].bad + usual) / (t[k].n + 1)
	}
	return list
}

// finding is a part of the evidence that speaks against the version.
type finding struct {
	route uint64
	kind  kind
	tally tally
	// factor is how much slower the candidates are, if that is the finding.
	factor float64
}

// anyRoute is the route of a finding over all routes.
const anyRoute = 0

// find returns the evidence against the version, if there is any.
func (v *evidence) find(l level) (finding, bool) {
	byRoute := map[uint64]map[ident.Endpoint]*cell{anyRoute: {}}
	every := byRoute[anyRoute]
	cells := v.current()
	for _, key := range sortedCells(cells) {
		c := cells[key]
		if every[key.endpoint] == nil {
			every[key.endpoint] = &cell{}
		}
		every[key.endpoint].all.add(&c.all)
		every[key.endpoint].recent.add(&c.recent)
		if key.route == anyRoute {
			continue
		}
		if byRoute[key.route] == nil {
			byRoute[key.route] = map[ident.Endpoint]*cell{}
		}
		byRoute[key.route][key.endpoint] = c
	}
	l.alpha /= float64(len(byRoute))
	onRoute := l
	onRoute.score += routeScore
	for _, route := range slices.Sorted(maps.Keys(byRoute)) {
		if route != anyRoute {
			l = onRoute
		}
		for k := range kinds {
			if t, found := judge(byRoute[route], k, l.of(k)); found {
				return finding{route: route, kind: k, tally: t}, true
			}
		}
		if v.speeds[route] == nil {
			continue
		}
		if factor, found := v.speeds[route].slower(l); found {
			return finding{route: route, kind: slowing, factor: factor}, true
		}
	}
	return finding{}, false
}

// current returns the tallies including the strata that are still open.
func (v *evidence) current() map[cellKey]*cell {
	list := make(map[cellKey]*cell, len(v.cells))
	for key, c := range v.cells {
		copied := *c
		list[key] = &copied
	}
	open := map[cellKey]tallies{}
	for _, key := range slices.SortedFunc(maps.Keys(v.open), compareStrata) {
		v.compare(key, open)
	}
	addCells(list, open)
	return list
}

// sortedCells returns the keys in a fixed order, so that sums don't depend on the order of a
// map.
func sortedCells(cells map[cellKey]*cell) []cellKey {
	return slices.SortedFunc(maps.Keys(cells), func(a, b cellKey) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.endpoint, b.endpoint))
	})
}

// judge compares the candidates' tallies of a kind, of the recent answers and of all.
func judge(cells map[ident.Endpoint]*cell, k kind, l level) (tally, bool) {
	for _, of := range []func(*cell) tally{
		func(c *cell) tally { return c.recent[k] }, func(c *cell) tally { return c.all[k] },
	} {
		var sum, worst tally
		tested, showing := 0, 0
		for _, e := range slices.Sorted(maps.Keys(cells)) {
			t := of(cells[e])
			sum.add(t)
			if t.excess() > worst.excess() {
				worst = t
			}
			if t.n < testedAnswers {
				continue
			}
			tested++
			if t.bad >= 2 && t.bad >= 2*t.expected {
				showing++
			}
		}
		if !sum.reaches(l) {
			continue
		}
		others := tally{sum.n - worst.n, sum.bad - worst.bad, sum.expected - worst.expected}
		if l.endpoints <= 1 || showing >= l.endpoints && 3*showing >= 2*tested && others.reaches(rest) {
			return sum, true
		}
	}
	return tally{}, false
}

// suspects returns the candidates whose own answers speak against them.
func (v *evidence) suspects(l level) []ident.Endpoint {
	sums := map[ident.Endpoint]*tallies{}
	cells := v.current()
	for _, key := range sortedCells(cells) {
		if sums[key.endpoint] == nil {
			sums[key.endpoint] = &tallies{}
		}
		sums[key.endpoint].add(&cells[key].recent)
	}
	list := v.speeds[anyRoute].outliers()
	for _, e := range slices.Sorted(maps.Keys(sums)) {
		if t := sums[e]; t[failing].reaches(l) || t[slowing].reaches(l.of(slowing)) {
			list = append(list, e)
		}
	}
	return list
}
