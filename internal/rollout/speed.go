package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

// A version that slows all answers down shows in the speeds of its endpoints. Machines differ
// in speed too, so the unit of this comparison is the endpoint, not the answer: however many
// answers one slow endpoint gives, they say no more than that it is slow.

const (
	// speedMemory is the number of answers that an endpoint's speed rests on.
	speedMemory = 30
	// testedSpeeds is the number of answers from which on a speed is used.
	testedSpeeds = 5
	// speedStep bounds the weight of one answer: a few very slow ones are not a slow endpoint.
	speedStep = 0.7
	// minSpread is the least standard deviation of the logarithms of speeds that is assumed,
	// and unknownSpread the one assumed of fewer than minSpeeds baseline endpoints.
	minSpread     = 0.15
	unknownSpread = 0.35
	minSpeeds     = 4
	// leaveOneOut is the number of baseline endpoints from which on the slowest is left out:
	// one that is at fault must not hide a slow version. trimmedSpread corrects for that.
	leaveOneOut   = 5
	trimmedSpread = 1.15
	// minShift is the least shift of the speeds that counts, as a logarithm: twice as slow.
	minShift = 0.7
	// While fewer than fewSpeeds of the candidates were tested, the shift has to be fewScore
	// standard errors larger: those that come first may be slow machines.
	fewSpeeds = 6
	fewScore  = 0.7
	// routeScore is the number of standard errors by which the shift has to be larger on a
	// single route, of which there are several.
	routeScore = 0.7
	// varianceWeight is the weight of one answer in the variance of answers.
	varianceWeight = 0.01
	// outlier is the number of standard deviations from which on a single candidate looks
	// slow.
	outlier = 3
	// unknownFactor is the number of standard deviations by which an endpoint whose speed is
	// not known yet is assumed to be slow.
	unknownFactor = 1.5
)

// speed is the mean logarithm of an endpoint's slowness.
type speed struct{ mean, n float64 }

// tested reports whether the speed is known.
func (x *speed) tested() bool { return x.n >= testedSpeeds }

// observe adds the logarithm of the slowness of an answer.
func (x *speed) observe(slowness float64) {
	x.n++
	weight := 1 / min(x.n, speedMemory)
	step := math.Log(slowness) - x.mean
	if x.tested() {
		step = min(max(step, -speedStep), speedStep)
	}
	x.mean += weight * step
}

// speeds holds the speeds of endpoints on one route, or on all.
type speeds struct {
	candidate, baseline map[ident.Endpoint]*speed
	// variance is that of the logarithms of the slowness of one endpoint's answers.
	variance float64
	// slowest is the mean of an endpoint that is as slow as most.
	slowest float64
}

func newSpeeds() *speeds {
	return &speeds{candidate: map[ident.Endpoint]*speed{}, baseline: map[ident.Endpoint]*speed{}}
}

func (v *speeds) of(candidate bool) map[ident.Endpoint]*speed {
	if candidate {
		return v.candidate
	}
	return v.baseline
}

func (v *speeds) observe(x *Sample, slowness float64) {
	rows := v.of(x.Candidate)
	if rows[x.Endpoint] == nil {
		rows[x.Endpoint] = &speed{}
	}
	row := rows[x.Endpoint]
	if !x.Candidate && row.tested() {
		step := math.Log(slowness) - row.mean
		v.variance += varianceWeight * (step*step - v.variance)
	}
	row.observe(slowness)
}

// factor is the multiple of the usual time that is usual for the endpoint of a sample. Fast
// endpoints count as usual ones. One that is not known yet may be as slow as others are.
func (v *speeds) factor(x *Sample) float64 {
	if row := v.of(x.Candidate)[x.Endpoint]; row != nil && row.tested() {
		return math.Exp(max(0, row.mean))
	}
	return math.Exp(max(0, v.slowest))
}

// update looks up how slow an endpoint may be.
func (v *speeds) update() {
	mean, deviation, _ := v.spread()
	v.slowest = mean + unknownFactor*deviation
}

// testedRows returns the tested endpoints, the fastest first.
func testedRows(rows map[ident.Endpoint]*speed) []speed {
	var list []speed
	for _, x := range rows {
		if x.tested() {
			list = append(list, *x)
		}
	}
	slices.SortFunc(list, func(a, b speed) int { return cmp.Or(cmp.Compare(a.mean, b.mean), cmp.Compare(a.n, b.n)) })
	return list
}

// spread returns the mean of the baseline's speeds, their standard deviation and their number.
func (v *speeds) spread() (mean, deviation, n float64) {
	list := testedRows(v.baseline)
	if len(list) == 0 {
		return 0, unknownSpread, 0
	}
	correction := 1.0
	if len(list) >= leaveOneOut {
		list, correction = list[:len(list)-1], trimmedSpread
	}
	n = float64(len(list))
	var squares float64
	for _, x := range list {
		mean += x.mean / n
		squares += x.mean * x.mean / n
	}
	if len(list) < minSpeeds-1 {
		return mean, unknownSpread, n
	}
	// The deviation of few values is uncertain.
	correction *= 1 + 1/n
	return mean, max(minSpread, correction*math.Sqrt(max(0, squares-mean*mean))), n
}

// shift returns by how much the candidates are slower, as a logarithm, and by how many standard
// errors: those of the speeds of machines, and of the answers that each speed rests on.
func (v *speeds) shift(candidates []speed, mean, deviation, n float64) (by, score float64) {
	if len(candidates) == 0 {
		return 0, 0
	}
	count := float64(len(candidates))
	sampling := 0.0
	for _, x := range candidates {
		by += x.mean / count
		sampling += v.variance / min(x.n, speedMemory) / (count * count)
	}
	by -= mean
	return by, by / math.Sqrt(deviation*deviation*(1/count+1/max(1, n))+sampling)
}

// slower reports whether the candidates are slower than the baseline at a level, and how much.
func (v *speeds) slower(l level) (factor float64, found bool) {
	mean, deviation, n := v.spread()
	list := testedRows(v.candidate)
	if n == 0 || len(list) < l.endpoints {
		return 0, false
	}
	least := l.score
	if len(list) < min(l.candidates, fewSpeeds) {
		least += fewScore
	}
	by, score := v.shift(list, mean, deviation, n)
	if by < minShift || score < least {
		return 0, false
	}
	if l.endpoints > 1 {
		// Without the slowest candidate.
		if by, score = v.shift(list[:len(list)-1], mean, deviation, n); by < minShift || score < l.score/2 {
			return 0, false
		}
	}
	return math.Exp(by), true
}

// outliers returns the candidates that are much slower than the baseline.
func (v *speeds) outliers() []ident.Endpoint {
	mean, deviation, n := v.spread()
	if n == 0 {
		return nil
	}
	var list []ident.Endpoint
	for _, e := range slices.Sorted(maps.Keys(v.candidate)) {
		x := v.candidate[e]
		if !x.tested() {
			continue
		}
		if by, score := v.shift([]speed{*x}, mean, deviation, math.Inf(1)); by >= minShift && score >= outlier {
			list = append(list, e)
		}
	}
	return list
}
