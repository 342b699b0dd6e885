package fleet

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/pool"
)

// Names of the policies that can be measured.
const (
	PolicyPool = "pool"
	// PolicyWithoutPrefix is the pool scheduler without placement by prefix.
	PolicyWithoutPrefix = "pool-without-prefix"
	// PolicyWithoutHolds is the pool scheduler that places every request at once,
	// wherever its prefix is cached.
	PolicyWithoutHolds  = "pool-without-holds"
	PolicyRoundRobin    = "round-robin"
	PolicyLeastReported = "least-reported"
	PolicyStrictTiers   = "strict-tiers"
)

// Policies lists the names of the policies.
func Policies() []string {
	return []string{PolicyPool, PolicyWithoutPrefix, PolicyWithoutHolds, PolicyRoundRobin, PolicyLeastReported, PolicyStrictTiers}
}

// NewPolicy returns a fresh policy by its name.
func NewPolicy(name string, seed uint64) (Policy, error) {
	switch name {
	case PolicyPool:
		return pool.New(pool.Config{Pool: Pool, Epoch: 1, Seed: seed}), nil
	case PolicyWithoutPrefix:
		return withoutPrefix{pool.New(pool.Config{Pool: Pool, Epoch: 1, Seed: seed})}, nil
	case PolicyWithoutHolds:
		return pool.New(pool.Config{Pool: Pool, Epoch: 1, Seed: seed, WithoutHolds: true}), nil
	case PolicyRoundRobin:
		return newRoundRobin(), nil
	case PolicyLeastReported:
		return newLeastReported(), nil
	case PolicyStrictTiers:
		return newStrictTiers(), nil
	}
	return nil, errors.Errorf("no policy %q", name)
}

// reportAge is how old load reports are in the standard measurement.
const reportAge = 2 * time.Second

// StandardFaults returns the faults of the standard measurement: one endpoint
// at a quarter of its speed for the middle third, a crash, reports 2 s old.
func StandardFaults(length time.Duration) Faults {
	return Faults{
		SlowFrom:  length / 3,
		SlowTo:    2 * length / 3,
		CrashAt:   length / 2,
		ReportAge: reportAge,
	}
}

// Setting is one measurement.
type Setting struct {
	// Load is relative to the deployment's capacity.
	Load float64
	// Seeds is the number of runs, with the seeds from 1.
	Seeds int
	// Length is the simulated time of arrivals.
	Length time.Duration
	// Faults says whether the standard faults happen. Reports are old and
	// bursts come in any case.
	Faults bool
}

func (s Setting) faults() Faults {
	if s.Faults {
		return StandardFaults(s.Length)
	}
	return Faults{ReportAge: reportAge}
}

// Measure runs one policy over the seeds.
func Measure(d Deployment, policy string, s Setting) ([]Result, error) {
	out := make([]Result, 0, s.Seeds)
	for seed := uint64(1); seed <= uint64(s.Seeds); seed++ {
		p, err := NewPolicy(policy, seed)
		if err != nil {
			return nil, err
		}
		items := Generate(d, seed, s.Load, s.Length)
		out = append(out, Execute(p, d, items, s.faults(), seed))
	}
	return out, nil
}

// Spread is the median and the worst of a figure over the seeds.
type Spread struct {
	Median, Worst float64
}

// HigherIsBetter summarizes a figure whose worst is the smallest.
func HigherIsBetter(values []float64) Spread {
	slices.Sort(values)
	return Spread{Median: values[len(values)/2], Worst: values[0]}
}

// LowerIsBetter summarizes a figure whose worst is the largest.
func LowerIsBetter(values []float64) Spread {
	slices.Sort(values)
	return Spread{Median: values[len(values)/2], Worst: values[len(values)-1]}
}
