package speed

import (
	"math/bits"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

const (
	// lengthWeight is the weight of an answer in the learned lengths.
	lengthWeight = 0.05
	// unknownBound stands for the bound of a request that names none, in
	// tokens.
	unknownBound = 512
	// firstMean is the part of its bound that an answer fills, before any was
	// seen.
	firstMean = 0.5
	// enoughAnswers is from when on a team's own lengths are used.
	enoughAnswers = 8
)

// Lengths learns how much of their bound answers fill, by team and size of the
// bound.
type Lengths struct {
	byTeam map[lengthKey]*fill
	all    map[int]*fill
}

type lengthKey struct {
	team ident.Team
	size int
}

// fill is the mean of the filled part.
type fill struct {
	mean    float64
	answers int
}

// NewLengths returns a Lengths that has seen no answer.
func NewLengths() *Lengths {
	return &Lengths{byTeam: map[lengthKey]*fill{}, all: map[int]*fill{}}
}

// Observe takes in the length of a whole answer.
func (l *Lengths) Observe(team ident.Team, bound, tokens int) {
	bound = knownBound(bound)
	size := bits.Len(uint(bound))
	part := float64(tokens) / float64(bound)
	key := lengthKey{team, size}
	if l.byTeam[key] == nil {
		l.byTeam[key] = newFill()
	}
	if l.all[size] == nil {
		l.all[size] = newFill()
	}
	l.byTeam[key].see(part)
	l.all[size].see(part)
}

// Expect returns the expected length of an answer in tokens.
func (l *Lengths) Expect(team ident.Team, bound int) float64 {
	bound = knownBound(bound)
	return l.find(team, bits.Len(uint(bound))).mean * float64(bound)
}

func (l *Lengths) find(team ident.Team, size int) *fill {
	if f := l.byTeam[lengthKey{team, size}]; f != nil && f.answers >= enoughAnswers {
		return f
	}
	if f := l.all[size]; f != nil {
		return f
	}
	return newFill()
}

func knownBound(bound int) int {
	if bound <= 0 {
		return unknownBound
	}
	return bound
}

func newFill() *fill {
	return &fill{mean: firstMean}
}

func (f *fill) see(part float64) {
	f.answers++
	weight := max(lengthWeight, 1/float64(f.answers+1))
	f.mean += weight * (part - f.mean)
}
