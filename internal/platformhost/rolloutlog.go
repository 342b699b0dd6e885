package platformhost

import (
	"github.com/sirupsen/logrus"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/metrics"
	"github.com/trefoilchute/trefoilchute/internal/pool"
)

// logRolloutStep logs a step of a roll-out.
func (h *Host) logRolloutStep(p ident.Pool, x *pool.RolloutStep) {
	logs.With(h.log, logs.Rollout).WithFields(logrus.Fields{
		"pool": p.String(), "target": x.Order.Target, "version": x.Order.Version, "order": x.Order.ID,
		"share": x.Share, "judgement": x.Judgement, "reason": x.Reason, "elapsed_ms": x.Elapsed.Milliseconds(),
		"candidate": x.Samples.Candidate, "candidate_bad": x.Samples.CandidateBad,
		"baseline": x.Samples.Baseline, "baseline_bad": x.Samples.BaselineBad,
	}).Info()
}

// countRollout adds the roll-out of a pool that this host schedules to s.
func countRollout(s *metrics.Status, p control.PoolStatus) {
	if p.Detail == nil || p.Detail.Rollout == nil {
		return
	}
	r := p.Detail.Rollout
	s.Rollouts[metrics.NameState{Name: p.Pool.Target, State: r.Phase}]++
	s.RolloutShare[p.Pool.Target] = r.Share
}
