package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/rollout"
)

// observeRun records the end of a run as a sample for the order in force. Tries after a failed
// one are left out: they are the baseline's only, and fail more often.
func (s *Scheduler) observeRun(a *attempt, f *Finished) {
	if s.rollout == nil || a.rollout.observed || a.request.Avoid != "" || f.Outcome == OutcomeRejected {
		return
	}
	x := s.sample(a)
	x.Took = f.Total
	switch f.Outcome {
	case OutcomeCompleted:
		x.Failed = !f.Generated
	case OutcomeCanceled:
		x.Cut = true
	default:
		x.Failed, x.Broken = true, !f.Answered
	}
	s.normalize(&x, a, f)
	a.rollout.observed = s.rollout.Observe(s.now, &x)
}

// observeOverdue records the runs in progress that have already taken several times as long as
// usual: a version that hangs would otherwise be noticed when its callers give up.
func (s *Scheduler) observeOverdue() {
	var list []*attempt
	for _, a := range s.attempts.rows {
		if a.started && a.holdsSlot && !a.orphaned && !a.rollout.observed && a.request.Avoid == "" && s.now-a.granted >= overdueAfter {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.granted, b.granted), cmp.Compare(a.request.ID, b.request.ID))
	})
	for _, a := range list {
		x := s.sample(a)
		x.Cut = true
		f := Finished{CachedTokens: -1, Total: s.now - a.granted, OutputTokens: a.request.MaxTokens}
		if a.sawFirstToken {
			f.FirstToken = a.firstTokenAt - a.granted
		}
		s.normalize(&x, a, &f)
		if a.request.MaxTokens <= 0 && a.endpoint.Type != resource.EndpointService {
			// The answer may be of any length.
			x.Total = 0
		}
		a.rollout.observed = s.rollout.Observe(s.now, &x)
	}
}

// sample returns a sample of an attempt without its outcome.
func (s *Scheduler) sample(a *attempt) rollout.Sample {
	version := a.rollout.version
	if version == "" {
		version = a.endpoint.Version
	}
	return rollout.Sample{
		Candidate: version == s.rollout.version, Endpoint: a.endpoint.Name, Route: a.request.Route,
		Domain: a.endpoint.Domain, Local: a.request.Near == "" || a.request.Near == a.endpoint.Domain,
	}
}

// normalize divides the times of a run by what an average endpoint needs for its work.
func (s *Scheduler) normalize(x *rollout.Sample, a *attempt, f *Finished) {
	if f.Total <= 0 {
		return
	}
	if a.endpoint.Type == resource.EndpointService {
		x.Total = f.Total.Seconds()
		return
	}
	prompt := a.uncached
	if f.CachedTokens >= 0 && f.Outcome == OutcomeCompleted {
		prompt = max(0, a.request.PromptTokens-f.CachedTokens)
	}
	average := s.endpoints.average(s.now)
	prefill := rules.DispatchOverhead + average.prefill*time.Duration(max(prompt, a.prefillBacklog-a.uncached+prompt))
	first := f.FirstToken
	if first <= 0 && x.Cut {
		first = f.Total
	}
	x.First = max(0, first.Seconds()/prefill.Seconds())
	x.Total = f.Total.Seconds() / (prefill + average.decode*time.Duration(max(1, f.OutputTokens))).Seconds()
}
