package speed

import (
	"math/bits"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

const (
	// lengthWeight is the minimum weight of an answer in the learned lengths.
	lengthWeight = 0.05
	// defaultBound is the bound in tokens that is assumed for a request without one.
	defaultBound = 512
	// initialMean is the fraction of its bound that an answer is assumed to fill
	// before any answer was observed.
	initialMean = 0.5
	// minTeamAnswers is the number of answers from which on a team's own lengths are
	// used.
	minTeamAnswers = 8
)

// Lengths learns which fraction of their bound answers fill, by team and by size of
// the bound.
type Lengths struct {
	byTeam map[lengthKey]*fill
	all    map[int]*fill
}

type lengthKey struct {
	team ident.Team
	size int
}

// fill is the mean of the filled fraction.
type fill struct {
	mean    float64
	answers int
}

// NewLengths returns a Lengths without observations.
func NewLengths() *Lengths {
	return &Lengths{byTeam: map[lengthKey]*fill{}, all: map[int]*fill{}}
}

// Observe records the length of a complete answer.
func (l *Lengths) Observe(team ident.Team, bound, tokens int) {
	bound = boundOrDefault(bound)
	size := bits.Len(uint(bound))
	fraction := float64(tokens) / float64(bound)
	key := lengthKey{team, size}
	if l.byTeam[key] == nil {
		l.byTeam[key] = newFill()
	}
	if l.all[size] == nil {
		l.all[size] = newFill()
	}
	l.byTeam[key].observe(fraction)
	l.all[size].observe(fraction)
}

// Expect returns the expected length of an answer in tokens.
func (l *Lengths) Expect(team ident.Team, bound int) float64 {
	bound = boundOrDefault(bound)
	return l.find(team, bits.Len(uint(bound))).mean * float64(bound)
}

func (l *Lengths) find(team ident.Team, size int) *fill {
	if f := l.byTeam[lengthKey{team, size}]; f != nil && f.answers >= minTeamAnswers {
		return f
	}
	if f := l.all[size]; f != nil {
		return f
	}
	return newFill()
}

func boundOrDefault(bound int) int {
	if bound <= 0 {
		return defaultBound
	}
	return bound
}

func newFill() *fill {
	return &fill{mean: initialMean}
}

func (f *fill) observe(fraction float64) {
	f.answers++
	weight := max(lengthWeight, 1/float64(f.answers+1))
	f.mean += weight * (fraction - f.mean)
}
