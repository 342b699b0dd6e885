package platformhost

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/gateway"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/metrics"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/pool/rules"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/ruleset"
	"github.com/trefoilchute/trefoilchute/internal/system/custody"
	"github.com/trefoilchute/trefoilchute/internal/system/scheduling"
	"github.com/trefoilchute/trefoilchute/platform"
)

// configured notes that control has taken a snapshot.
func (h *Host) configured(*resource.Snapshot) {}

// record logs what the pool schedulers of this host refused, which endpoints they closed
// and which requests they suspect. What they placed stands in the line of the host that holds the request.
func (h *Host) record(steps []scheduling.Step, _ []custody.Directive) {
	for _, step := range steps {
		for i := range step.Closings {
			h.tellClosing(step.Config.Pool, &step.Closings[i])
		}
		for _, e := range step.Effects {
			switch e := e.(type) {
			case pool.Refuse:
				h.tellRefusal(step.Config.Pool, &e)
			case pool.Publish:
				h.tellSuspects(step.Config.Pool, e.List)
			}
		}
	}
}

// tellRefusal logs what a pool's scheduler refused.
func (h *Host) tellRefusal(p ident.Pool, r *pool.Refuse) {
	logs.With(h.log, logs.Refused).WithFields(logrus.Fields{
		"request": r.ID, "custodian": r.Host, "pool": p.String(),
		"code": int(r.Code), "result": r.Code.String(), "reason": r.Reason,
		"retry_after_ms": r.RetryAfter.Milliseconds(),
	}).Info()
}

// tellSuspects logs what a pool's scheduler found of requests that endpoints ended under.
func (h *Host) tellSuspects(p ident.Pool, list []pool.Suspect) {
	for _, x := range list {
		h.keepSuspect(x)
		logs.With(h.log, logs.Suspected).WithFields(logrus.Fields{
			"pool": p.String(), "fingerprint": fingerprintText(x.Fingerprint), "crashes": x.Crashes,
			"quarantined": x.Quarantined,
		}).Info()
	}
}

// fingerprintText is how logs write a request's fingerprint.
func fingerprintText(fingerprint uint64) string {
	return strconv.FormatUint(fingerprint, 16)
}

// maxHolding bounds the requests that a line about a closed endpoint names.
const maxHolding = 16

// tellClosing logs and counts that an endpoint gets no requests for a while.
func (h *Host) tellClosing(p ident.Pool, c *pool.Closing) {
	h.metrics.EndpointClosed(string(c.Reason))
	var names []string
	for _, id := range c.Holding[:min(len(c.Holding), maxHolding)] {
		names = append(names, string(id))
	}
	logs.With(h.log, logs.EndpointClosed).WithFields(logrus.Fields{
		"pool": p.String(), "endpoint": c.Endpoint, "reason": string(c.Reason), "for_ms": c.For.Milliseconds(),
		"of_host": c.Host, "failures": c.Failures, "holding": len(c.Holding), "requests": strings.Join(names, " "),
	}).Info()
}

// observe takes the final answer of a request: one line and the metrics.
func (h *Host) observe(o *gateway.Outcome) {
	h.metrics.Answered(&metrics.Answer{
		Tier: ident.Tier(o.Kind.String()), Code: o.Code, InTime: o.OnTime,
		QueueWait: o.QueueTime, FirstToken: o.FirstByte, Total: o.Total, Tries: o.Tries,
	})
	line := logs.With(h.log, logs.Answered).WithFields(logrus.Fields{
		"request": o.Attempt, "try": o.ID, "fingerprint": fingerprintText(o.Fingerprint), "route": o.Route, "kind": o.Kind.String(), "team": o.Team,
		"target": o.Target, "rank": o.Rank, "cost": o.Cost, "endpoint": o.Endpoint, "tries": o.Tries, "why": o.Why,
		"version": o.Version, "version_age_ms": o.ConfigurationAge.Milliseconds(), "settings": o.Settings,
		"code": int(o.Code), "result": o.Code.String(), "status": o.Status, "on_time": o.OnTime,
		"queue_ms": o.QueueTime.Milliseconds(), "first_ms": o.FirstByte.Milliseconds(),
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

// gap counts the time between two parts of an answer.
func (h *Host) gap(kind ruleset.Kind, took time.Duration) {
	h.metrics.TokenGap(ident.Tier(kind.String()), took)
}

// dropped counts an endpoint's answer that was not taken whole.
func (h *Host) dropped(reason gateway.DropReason) {
	h.metrics.Dropped(string(reason))
}

// storeCalled counts a call of the platform's store.
func (h *Host) storeCalled(path string, took time.Duration, err error) {
	h.metrics.Called(path, storeOutcome(err), took)
}

// storeOutcome names what came of a call of the store.
func storeOutcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, platform.ErrConflict):
		return "conflict"
	case errors.Is(err, platform.ErrHistoryGone):
		return "history_gone"
	case errors.Is(err, platform.ErrAmbiguous):
		return "ambiguous"
	}
	return "unavailable"
}

// inspectTimeout bounds one look at the control state for a scrape.
const inspectTimeout = 500 * time.Millisecond

// status returns what the host is like at the moment of a scrape.
func (h *Host) status() metrics.Status {
	s := metrics.Status{
		Members: map[string]int{}, Waiting: map[ident.Tier]int{}, Slots: map[metrics.NameState]int{},
		Settings: h.settings.Load().Version(), Endpoints: map[metrics.NameState]int{}, Age: map[string]time.Duration{}, RetriesLeft: h.gateway.RetriesLeft(),
	}
	if rules := h.gateway.Ruleset(); rules != nil {
		s.Revision = rules.Version
	}
	if age, known := h.follower.ConfigurationAge(); known {
		s.Age["configuration"] = age
	}
	if age, known := h.follower.EndpointsAge(); known {
		s.Age["endpoints"] = age
	}
	h.countEndpoints(&s)
	if !h.linked.Load() {
		return s
	}
	ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	_ = h.loop.Inspect(ctx, func(c *control.Core) {
		for _, m := range c.Members() {
			s.Members[m.State.String()]++
		}
		_, s.InFlight, _ = c.Counts()
		s.RateShare = c.RateShares()
		for _, p := range c.Pools() {
			countPool(&s, p)
		}
	})
	return s
}

// countEndpoints counts the endpoints that are known by target and state.
func (h *Host) countEndpoints(s *metrics.Status) {
	h.view.mu.Lock()
	defer h.view.mu.Unlock()
	for _, e := range h.view.endpoints {
		state := "active"
		if e.Leaving {
			state = "leaving"
		}
		s.Endpoints[metrics.NameState{Name: e.Target, State: state}]++
	}
}

// countPool counts what waits in a pool and what holds its slots, if it is scheduled
// here.
func countPool(s *metrics.Status, p control.PoolStatus) {
	if p.Detail == nil {
		return
	}
	for _, q := range p.Detail.Queue {
		s.Waiting[tierName(q.Rank)] += q.Waiting
	}
	holders := p.Detail.Holders
	for state, count := range map[string]int{
		"granted": holders.Granted, "prefilling": holders.Prefilling,
		"decoding": holders.Decoding, "orphaned": holders.Orphaned,
	} {
		s.Slots[metrics.NameState{Name: p.Pool.String(), State: state}] = count
	}
}

// tierName names the tier of a rank; late requests have one of their own.
func tierName(rank int) ident.Tier {
	if rank >= rules.LatePriorityOffset {
		return ident.Tier("late-rank-" + strconv.Itoa(rank-rules.LatePriorityOffset))
	}
	return ident.Tier("rank-" + strconv.Itoa(rank))
}

// leaving logs that an endpoint leaves by its own word, whatever its entry says.
func (h *Host) leaving(x control.LeavingEndpoint) {
	logs.With(h.log, logs.EndpointLeaving).WithFields(logrus.Fields{
		"endpoint": x.Endpoint, "lifetime": x.Lifetime, "source": x.Source, "reason": "it says so in an answer",
	}).Info()
}

// unresponsive logs that a host left a submission unanswered: its pools are taken
// for another's for a while.
func (h *Host) unresponsive(other ident.Host) {
	logs.With(h.log, logs.SchedulerSilent).WithField("scheduler", other).Warn()
}
