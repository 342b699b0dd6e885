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

// ignoreConfigured is the Configure port; nothing on the platform depends on it.
func (h *Host) ignoreConfigured(*resource.Snapshot) {}

// record logs the refusals, endpoint closings and suspects of the pool schedulers on this
// host. Placements aren't logged here: the request's custodian logs them with the outcome.
func (h *Host) record(steps []scheduling.Step, _ []custody.Directive) {
	for _, step := range steps {
		for i := range step.Closings {
			h.logClosing(step.Config.Pool, &step.Closings[i])
		}
		for _, e := range step.Effects {
			switch e := e.(type) {
			case pool.Grant:
				if e.Left {
					h.metrics.LeftDomain(step.Config.Pool.String(), e.Bytes)
				}
			case pool.Refuse:
				h.logRefusal(step.Config.Pool, &e)
			case pool.RolloutStep:
				h.logRolloutStep(step.Config.Pool, &e)
			case pool.Publish:
				h.logSuspects(step.Config.Pool, e.List)
			}
		}
	}
}

// logRefusal logs a request that a pool's scheduler refused.
func (h *Host) logRefusal(p ident.Pool, r *pool.Refuse) {
	logs.With(h.log, logs.Refused).WithFields(logrus.Fields{
		"request": r.ID, "custodian": r.Host, "pool": p.String(),
		"code": int(r.Code), "result": r.Code.String(), "reason": r.Reason,
		"retry_after_ms": r.RetryAfter.Milliseconds(),
	}).Info()
}

// logSuspects stores and logs a pool scheduler's findings on requests that ran on crashed endpoints.
func (h *Host) logSuspects(p ident.Pool, list []pool.Suspect) {
	for _, x := range list {
		if !x.Trial {
			h.storeSuspect(x)
		}
		logs.With(h.log, logs.Suspected).WithFields(logrus.Fields{
			"pool": p.String(), "kind": suspectKind(x.Part), "fingerprint": formatFingerprint(x.Fingerprint), "crashes": x.Crashes,
			"quarantined": x.Quarantined, "co_suspects": formatParts(x.CoSuspects), "trial": x.Trial,
		}).Info()
	}
}

// suspectKind returns the name of a kind of suspect in logs and metrics, and suspectState that of
// its state.
func suspectKind(part bool) string {
	if part {
		return "part"
	}
	return "request"
}

func suspectState(quarantined bool) string {
	if quarantined {
		return "quarantined"
	}
	return "suspect"
}

// formatFingerprint formats a request's fingerprint for the logs.
func formatFingerprint(fingerprint uint64) string {
	return strconv.FormatUint(fingerprint, 16)
}

// maxLoggedParts bounds the prompt parts in the log line of an answer.
const maxLoggedParts = 8

// formatParts formats the first fingerprints of a request's prompt parts for the logs.
func formatParts(parts []uint64) string {
	var list []string
	for _, part := range parts[:min(len(parts), maxLoggedParts)] {
		list = append(list, formatFingerprint(part))
	}
	return strings.Join(list, " ")
}

// maxLoggedRequests bounds the request IDs in the log line of a closed endpoint.
const maxLoggedRequests = 16

// logClosing logs and counts the temporary closing of an endpoint for new requests.
func (h *Host) logClosing(p ident.Pool, c *pool.Closing) {
	h.metrics.EndpointClosed(string(c.Reason))
	var names []string
	for _, id := range c.Holding[:min(len(c.Holding), maxLoggedRequests)] {
		names = append(names, string(id))
	}
	logs.With(h.log, logs.EndpointClosed).WithFields(logrus.Fields{
		"pool": p.String(), "endpoint": c.Endpoint, "reason": string(c.Reason), "for_ms": c.For.Milliseconds(),
		"of_host": c.Host, "failures": c.Failures, "holding": len(c.Holding), "answering": c.Answering, "requests": strings.Join(names, " "),
	}).Info()
}

// recordOutcome logs the outcome of a request and updates the metrics.
func (h *Host) recordOutcome(o *gateway.Outcome) {
	h.metrics.Answered(&metrics.Answer{
		Tier: ident.Tier(o.Kind.String()), Code: o.Code, InTime: o.OnTime,
		QueueWait: o.QueueTime, FirstToken: o.FirstByte, Total: o.Total, Tries: o.Tries,
	})
	line := logs.With(h.log, logs.Answered).WithFields(logrus.Fields{
		"request": o.Attempt, "try": o.ID, "fingerprint": formatFingerprint(o.Fingerprint), "route": o.Route, "kind": o.Kind.String(), "team": o.Team,
		"target": o.Target, "rank": o.Rank, "cost": o.Cost, "endpoint": o.Endpoint, "tries": o.Tries, "why": o.Why,
		"version": o.Version, "version_age_ms": o.ConfigurationAge.Milliseconds(), "settings": o.Settings,
		"code": int(o.Code), "result": o.Code.String(), "status": o.Status, "on_time": o.OnTime,
		"queue_ms": o.QueueTime.Milliseconds(), "first_ms": o.FirstByte.Milliseconds(),
		"total_ms": o.Total.Milliseconds(), "gap_ms": o.MaxGap.Milliseconds(), "bytes": o.Bytes,
	})
	if len(o.Parts) > 0 {
		line = line.WithField("parts", formatParts(o.Parts))
	}
	if o.Reason != "" {
		line = line.WithField("reason", o.Reason)
	}
	if o.Code == result.OK && o.OnTime {
		line.Debug()
		return
	}
	line.Info()
}

// recordGap records the time between two parts of an answer.
func (h *Host) recordGap(kind ruleset.Kind, duration time.Duration) {
	h.metrics.TokenGap(ident.Tier(kind.String()), duration)
}

// countDrop counts an endpoint's answer that wasn't read completely.
func (h *Host) countDrop(reason gateway.DropReason) {
	h.metrics.Dropped(string(reason))
}

// countStoreCall counts a call to the platform's store.
func (h *Host) countStoreCall(path string, duration time.Duration, err error) {
	h.metrics.Called(path, storeOutcome(err), duration)
}

// logEra logs a change of the store's era.
func (h *Host) logEra(c platform.EraChange) {
	line := logs.With(h.log, logs.StoreEra).WithFields(logrus.Fields{"from": c.From.String(), "to": c.To.String()})
	if c.Invalid != nil {
		line.WithField("header", c.Invalid).Warn("the header names no era")
		return
	}
	line.Info()
}

// storeOutcome returns the metric label for the result of a store call.
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

// inspectTimeout bounds one read of the control state.
const inspectTimeout = 500 * time.Millisecond

// status returns the current state of the host for a metrics scrape.
func (h *Host) status() metrics.Status {
	s := metrics.Status{
		Members: map[string]int{}, Waiting: map[ident.Tier]int{}, Slots: map[metrics.NameState]int{},
		Suspects: map[metrics.NameState]int{}, Load: map[metrics.NameState]int{},
		Rollouts: map[metrics.NameState]int{}, RolloutShare: map[string]float64{}, Promises: map[metrics.NameState]int{},
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
	s.Age["control_loop"] = h.loop.Idle()
	if era := h.store.Era(); era.Named {
		s.StoreEra = &era.Number
	}
	usage := h.gateway.MemoryUsage()
	s.Budget, s.Connections, s.Held = usage.Limits.Bytes, usage.Connections, map[string]int64{}
	for kind, bytes := range usage.Held {
		s.Held[kind.String()] = bytes
	}
	h.countEndpoints(&s)
	s.Peer = h.traffic.read()
	if !h.connected.Load() {
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
			countRollout(&s, p)
		}
		for _, x := range c.Suspects() {
			s.Suspects[metrics.NameState{Name: suspectKind(x.GetPart()), State: suspectState(x.GetQuarantined())}]++
		}
	})
	return s
}

// countEndpoints counts the known endpoints by target and state.
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

// countPool adds a pool's waiting requests and slots in use to s, if this host schedules
// the pool.
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
	promises := p.Detail.Promises
	for state, count := range map[string]uint64{
		"promised": promises.Made, "without": promises.Without, "kept": promises.Kept,
		"early": promises.Early, "lapsed": promises.Lapsed,
	} {
		s.Promises[metrics.NameState{Name: p.Pool.String(), State: state}] = int(count)
	}
	for i := range p.Detail.Endpoints {
		s.Load[metrics.NameState{Name: p.Pool.String(), State: p.Detail.Endpoints[i].Load()}]++
	}
}

// tierName returns the metric label for the tier of a rank. Late requests and those beyond their
// team's share have labels of their own.
func tierName(rank int) ident.Tier {
	switch {
	case rank >= rules.LatePriorityOffset:
		return ident.Tier("late-rank-" + strconv.Itoa(rank-rules.LatePriorityOffset))
	case rank >= rules.ExcessPriorityOffset:
		return ident.Tier("beyond-share-rank-" + strconv.Itoa(rank%rules.ExcessPriorityOffset))
	}
	return ident.Tier("rank-" + strconv.Itoa(rank))
}

// endpointLeaving logs that an endpoint announced in a response that it is leaving, which its
// entry in the store may not show yet.
func (h *Host) endpointLeaving(x control.LeavingEndpoint) {
	logs.With(h.log, logs.EndpointLeaving).WithFields(logrus.Fields{
		"endpoint": x.Endpoint, "lifetime": x.Lifetime, "source": x.Source, "reason": "it says so in an answer",
	}).Info()
}

// hostUnresponsive logs that a host didn't answer a submission. For a while its pools are
// treated as scheduled by another host.
func (h *Host) hostUnresponsive(other ident.Host) {
	logs.With(h.log, logs.SchedulerSilent).WithField("scheduler", other).Warn()
}
