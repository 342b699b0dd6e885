// Package replay runs recorded traces through the scheduling code, compares the
// effects with the recorded ones and summarizes the outcome.
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

// Scheduler is the scheduling code that a trace is replayed with.
type Scheduler interface {
	Step(now time.Duration, events []pool.Event) []pool.Effect
}

// Outcome summarizes a replay.
type Outcome struct {
	// Schedulers, Steps and Events count the contents of the trace.
	Schedulers, Steps, Events int
	// Grants, Spills and Publishes count effects. Isolated counts the grants
	// that reserve their endpoint for a suspect.
	Grants, Isolated, Spills, Publishes int
	// Refusals counts refusals by result code.
	Refusals map[result.Code]int
	// EffectsHash is the hash of all effects in order.
	EffectsHash uint64
	// Mismatches counts the steps whose effects differ from the recorded ones.
	// FirstMismatch describes the first of them.
	Mismatches    int
	FirstMismatch string
}

// replay is the state of a replay in progress.
type replay struct {
	reader       *trace.Reader
	newScheduler func(pool.Config) Scheduler
	schedulers   []Scheduler
	digest       *xxhash.Digest
	outcome      Outcome
}

// Run replays a trace. It calls newScheduler for each scheduler that the trace
// introduces.
func Run(r io.Reader, newScheduler func(pool.Config) Scheduler) (Outcome, error) {
	reader, err := trace.NewReader(r)
	if err != nil {
		return Outcome{}, err
	}
	run := &replay{
		reader:       reader,
		newScheduler: newScheduler,
		digest:       xxhash.New(),
		outcome:      Outcome{Refusals: map[result.Code]int{}},
	}
	for {
		f, err := reader.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return run.outcome, errors.Wrapf(err, "read the frame after step %d", run.outcome.Steps)
		}
		if err := run.applyFrame(f); err != nil {
			return run.outcome, errors.Wrapf(err, "replay step %d", run.outcome.Steps)
		}
	}
	run.outcome.EffectsHash = run.digest.Sum64()
	return run.outcome, nil
}

// NewPool returns a new pool scheduler. It is the usual newScheduler of Run.
func NewPool(c pool.Config) Scheduler { return pool.New(c) }

// applyFrame handles the next frame of the trace.
func (p *replay) applyFrame(f trace.Frame) error {
	switch {
	case f.Header != nil:
		p.schedulers = nil
	case f.Start != nil:
		p.schedulers = append(p.schedulers, p.newScheduler(f.Start.Config))
		p.outcome.Schedulers++
	case f.Step != nil:
		return p.runStep(f.Step)
	}
	return nil
}

// runStep runs a step and compares its effects with the recorded ones.
func (p *replay) runStep(s *trace.Step) error {
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
		p.outcome.recordMismatch(s, effects)
	}
	return nil
}

// count counts an effect.
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

// recordMismatch counts a step whose effects differ from the recorded ones.
func (o *Outcome) recordMismatch(s *trace.Step, effects []pool.Effect) {
	o.Mismatches++
	if o.FirstMismatch == "" {
		o.FirstMismatch = fmt.Sprintf("step %d at %v, scheduler %d: now %+v", o.Steps, s.At, s.Scheduler, effects)
	}
}

// String returns the outcome as lines of key=value, without FirstMismatch.
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
