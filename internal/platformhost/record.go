package platformhost

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/gateway"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/metrics"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
	"github.com/trefoilchute/trefoilchute/internal/system/scheduling"
)

// configured notes that control has taken a snapshot.
func (h *Host) configured(*resource.Snapshot) {}

// record logs what the pool schedulers of this host refused. What they placed
// stands in the line of the host that holds the request.
func (h *Host) record(steps []scheduling.Step, _ []custody.Directive) {
	for _, step := range steps {
		for _, e := range step.Effects {
			r, ok := e.(pool.Refuse)
			if !ok {
				continue
			}
			logs.With(h.log, logs.Refused).WithFields(logrus.Fields{
				"request": r.ID, "custodian": r.Host, "pool": step.Config.Pool.String(),
				"code": int(r.Code), "result": r.Code.String(), "reason": r.Reason,
				"retry_after_ms": r.RetryAfter.Milliseconds(),
			}).Info()
		}
	}
}

// observe takes the final answer of a request: one line and the metrics.
func (h *Host) observe(o *gateway.Outcome) {
	h.metrics.Answered(&metrics.Answer{
		Tier: ident.Tier(o.Kind.String()), Code: o.Code, InTime: o.OnTime,
		QueueWait: o.Queue, FirstToken: o.First, Total: o.Total,
	})
	line := logs.With(h.log, logs.Answered).WithFields(logrus.Fields{
		"request": o.Attempt, "try": o.ID, "route": o.Route, "kind": o.Kind.String(), "team": o.Team,
		"target": o.Target, "rank": o.Rank, "cost": o.Cost, "endpoint": o.Endpoint, "tries": o.Tries, "why": o.Why,
		"version": o.Version, "version_age_ms": o.ConfigurationAge.Milliseconds(),
		"code": int(o.Code), "result": o.Code.String(), "status": o.Status, "on_time": o.OnTime,
		"queue_ms": o.Queue.Milliseconds(), "first_ms": o.First.Milliseconds(),
		"total_ms": o.Total.Milliseconds(), "gap_ms": o.MaxGap.Milliseconds(), "bytes": o.Bytes,
	})
	if o.Reason != "" {
		line = line.WithField("reason", o.Reason)
	}
	if o.Code == result.OK && o.OnTime {
		line.Debug()
		return
	}
	line.Info()
}

// inspectTimeout bounds one look at the control state for a scrape.
const inspectTimeout = 500 * time.Millisecond

// status returns what the host is like at the moment of a scrape.
func (h *Host) status() metrics.Status {
	s := metrics.Status{Members: map[string]int{}, Waiting: map[ident.Tier]int{}}
	if rules := h.gateway.Rules(); rules != nil {
		s.Revision = rules.Version
	}
	if !h.linked.Load() {
		return s
	}
	ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	_ = h.loop.Inspect(ctx, func(c *control.Core) {
		for _, m := range c.Members() {
			s.Members[m.State.String()]++
		}
		_, s.InFlight, _ = c.Busy()
	})
	return s
}

// unresponsive logs that a host left a submission unanswered: its pools are taken
// for another's for a while.
func (h *Host) unresponsive(other ident.Host) {
	logs.With(h.log, logs.SchedulerSilent).WithField("scheduler", other).Warn()
}
