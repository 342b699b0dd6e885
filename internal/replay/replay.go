// Package replay runs recorded traces through the decision code and compares
// what it decides with what was recorded and with stated outcomes.
package replay

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/trace"
)

// Scheduler is the decision code that a trace runs through.
type Scheduler interface {
	Step(now time.Duration, events []pool.Event) []pool.Effect
}

// Outcome is what a replay came to.
type Outcome struct {
	// Schedulers, Steps and Events count what the trace holds.
	Schedulers, Steps, Events int
	// Grants, Spills and Publishes count effects; Isolated the grants among
	// them to suspects.
	Grants, Isolated, Spills, Publishes int
	// Refusals counts refusals by code.
	Refusals map[result.Code]int
	// EffectsHash is the hash of all effects in order.
	EffectsHash uint64
	// Mismatches counts the steps whose effects are not those recorded; First
	// describes the first of them.
	Mismatches    int
	FirstMismatch string
}

// replay is a replay on its way.
type replay struct {
	reader     *trace.Reader
	create     func(pool.Config) Scheduler
	schedulers []Scheduler
	digest     *xxhash.Digest
	outcome    Outcome
}

// Run replays a trace. create returns a fresh scheduler for each that the
// trace introduces.
func Run(r io.Reader, create func(pool.Config) Scheduler) (Outcome, error) {
	reader, err := trace.NewReader(r)
	if err != nil {
		return Outcome{}, err
	}
	p := &replay{
		reader:  reader,
		create:  create,
		digest:  xxhash.New(),
		outcome: Outcome{Refusals: map[result.Code]int{}},
	}
	for {
		f, err := reader.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return p.outcome, errors.Wrapf(err, "after step %d", p.outcome.Steps)
		}
		if err := p.frame(f); err != nil {
			return p.outcome, errors.Wrapf(err, "step %d", p.outcome.Steps)
		}
	}
	p.outcome.EffectsHash = p.digest.Sum64()
	return p.outcome, nil
}

// NewPool returns a fresh pool scheduler; it is Run's usual create.
func NewPool(c pool.Config) Scheduler { return pool.New(c) }

func (p *replay) frame(f trace.Frame) error {
	switch {
	case f.Header != nil:
		p.schedulers = nil
	case f.Start != nil:
		p.schedulers = append(p.schedulers, p.create(f.Start.Config))
		p.outcome.Schedulers++
	case f.Step != nil:
		return p.step(f.Step)
	}
	return nil
}

func (p *replay) step(s *trace.Step) error {
	events, err := s.Decode()
	if err != nil {
		return err
	}
	effects := p.schedulers[s.Scheduler].Step(s.At, events)
	encoded, err := trace.Encode(effects)
	if err != nil {
		return err
	}
	_, _ = p.digest.Write(encoded)
	p.outcome.Steps++
	p.outcome.Events += len(events)
	for _, e := range effects {
		p.outcome.count(e)
	}
	if xxhash.Sum64(encoded) != s.EffectsHash {
		p.outcome.differ(s, effects)
	}
	return nil
}

func (o *Outcome) count(e pool.Effect) {
	switch e := e.(type) {
	case pool.Grant:
		o.Grants++
		if e.Isolated {
			o.Isolated++
		}
	case pool.Refuse:
		o.Refusals[e.Code]++
	case pool.Spill:
		o.Spills++
	case pool.Publish:
		o.Publishes++
	}
}

func (o *Outcome) differ(s *trace.Step, effects []pool.Effect) {
	o.Mismatches++
	if o.FirstMismatch == "" {
		o.FirstMismatch = fmt.Sprintf("step %d at %v, scheduler %d: now %+v", o.Steps, s.At, s.Scheduler, effects)
	}
}

// String returns the outcome as lines of key=value, without First.
func (o Outcome) String() string {
	var b strings.Builder
	line := func(key string, value any) { _, _ = fmt.Fprintf(&b, "%s=%v\n", key, value) }
	line("schedulers", o.Schedulers)
	line("steps", o.Steps)
	line("events", o.Events)
	line("grants", o.Grants)
	line("isolated", o.Isolated)
	for _, code := range slices.Sorted(maps.Keys(o.Refusals)) {
		line("refused_"+code.String(), o.Refusals[code])
	}
	line("spills", o.Spills)
	line("publishes", o.Publishes)
	line("effects", fmt.Sprintf("%016x", o.EffectsHash))
	line("different", o.Mismatches)
	return b.String()
}
