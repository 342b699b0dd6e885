package runner

import (
	"strings"
	"time"
)

// Flaw is what is wrong with an endpoint's software. It concerns the runs for which all of its
// conditions hold.
type Flaw struct {
	// Part is the fraction of the runs that are bad.
	Part float64
	// Slow is the factor by which a bad run takes longer; 0: it fails.
	Slow float64
	// From is when the flaw begins.
	From time.Time
	// Running is the least number of requests that run at the endpoint, with this one.
	Running int
	// Prefix is what the request's path begins with.
	Prefix string
}

// SetFlaw gives the endpoint a flaw, or none.
func (r *Runner) SetFlaw(f *Flaw) { r.flaw.Store(f) }

// Bad returns the times at which bad answers ended.
func (r *Runner) Bad() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.bad...)
}

// Running returns the number of requests that run.
func (r *Runner) Running() int { return len(r.slots) }

// badRun returns the flaw if a run is bad.
func (r *Runner) badRun(path, attempt string) *Flaw {
	f := r.flaw.Load()
	if f == nil || time.Now().Before(f.From) || r.Running() < f.Running || !strings.HasPrefix(path, f.Prefix) ||
		float64(hashOf(attempt+" flaw")%1000) >= 1000*f.Part {
		return nil
	}
	return f
}

// noteBad records the end of a bad run.
func (r *Runner) noteBad() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bad = append(r.bad, time.Now())
}
