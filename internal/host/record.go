package host

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoilchute/trefoilchute/internal/entry"
	"github.com/trefoilchute/trefoilchute/internal/explain"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/metrics"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/report"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
	"github.com/trefoilchute/trefoilchute/internal/system/scheduling"
)

// record keeps what schedulers and custody decided, for explain and the trace.
func (h *Host) record(steps []scheduling.Step, directives []custody.Directive) {
	now := time.Now()
	if err := h.trace.record(steps); err != nil {
		logs.With(h.log, logs.TraceBroken).WithError(err).Error()
		h.trace.close()
		h.trace = nil
	}
	for _, step := range steps {
		for _, e := range step.Effects {
			h.recordEffect(now, e)
		}
	}
	for _, d := range directives {
		h.recordDirective(now, d)
	}
}

// recordEffect keeps one decision of a pool's scheduler.
func (h *Host) recordEffect(now time.Time, e pool.Effect) {
	switch e := e.(type) {
	case pool.Grant:
		h.note(e.ID, explain.Record{Time: now, Event: logs.Placed, Endpoint: e.Endpoint, Reason: e.Why})
	case pool.Refuse:
		h.note(e.ID, explain.Record{Time: now, Event: logs.Refused, Code: e.Code, Reason: e.Reason})
	case pool.Spill:
		h.note(e.ID, explain.Record{
			Time: now, Event: logs.PassedOn, Reason: "to domain " + string(e.Domain) + ": " + e.Reason,
		})
	}
}

// recordDirective keeps one decision of custody.
func (h *Host) recordDirective(now time.Time, d custody.Directive) {
	switch d.Kind {
	case custody.Connect:
		h.note(d.ID, explain.Record{Time: now, Event: logs.Granted, Endpoint: d.Endpoint, Reason: d.Why})
	case custody.Commit:
		if d.Proceed {
			h.note(d.ID, explain.Record{Time: now, Event: logs.Dispatched, Endpoint: d.Endpoint})
		}
	case custody.Refuse:
		h.note(d.ID, explain.Record{
			Time: now, Event: logs.Final, Code: d.Err.Code, Reason: d.Err.Reason,
		})
	}
}

// note adds a record to the book.
func (h *Host) note(id ident.Request, r explain.Record) {
	h.book.Add(id, r)
}

// gap counts the time between two parts of an answer.
func (h *Host) gap(tier ident.Tier, d time.Duration) {
	h.metrics.TokenGap(tier, d)
}

// observe takes the final answer of a request.
func (h *Host) observe(o entry.Outcome) {
	h.note(o.ID, explain.Record{Time: time.Now(), Event: logs.Answered, Code: o.Code})
	h.metrics.Answered(&metrics.Answer{
		Tier: o.Tier, Code: o.Code, InTime: o.InTime,
		QueueWait: o.QueueWait, FirstToken: o.FirstToken, Total: o.Total,
	})
	h.burn.Add(time.Now(), &report.Answer{
		Tier: o.Tier, Team: o.Team, Code: o.Code, InTime: o.InTime,
		FirstToken: o.FirstToken, TokenGap: meanGap(&o),
	})
	if o.QueueWait > 0 {
		h.metrics.Tokens(o.Tier, o.PromptTokens, o.CachedTokens, o.OutputTokens, o.InTime)
	}
	line := logs.With(h.log, logs.Answered).WithFields(logrus.Fields{
		"request": o.ID, "team": o.Team, "tier": o.Tier,
		"code": int(o.Code), "result": o.Code.String(), "in_time": o.InTime,
		"first_token_ms": o.FirstToken.Milliseconds(), "total_ms": o.Total.Milliseconds(),
	})
	if o.Code == result.OK {
		line.Debug()
		return
	}
	line.Info()
}

// meanGap returns the mean time between the tokens of an answer; 0 where there
// were fewer than two.
func meanGap(o *entry.Outcome) time.Duration {
	if o.OutputTokens < 2 || o.FirstToken == 0 {
		return 0
	}
	return (o.Total - o.FirstToken) / time.Duration(o.OutputTokens-1)
}

// unresponsive logs that a host left a submission unanswered: its pools are taken
// for another's for a while.
func (h *Host) unresponsive(other ident.Host) {
	logs.With(h.log, logs.SchedulerSilent).WithField("scheduler", other).Warn()
}
