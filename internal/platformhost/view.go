package platformhost

import (
	"context"
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/ruleset"
	"github.com/trefoilchute/trefoilchute/internal/system/order"
	"github.com/trefoilchute/trefoilchute/internal/system/quota"
	"github.com/trefoilchute/trefoilchute/platform"
)

// storeView is the latest configuration and endpoints read from the store. The control
// loop receives both as one snapshot.
type storeView struct {
	mu        sync.Mutex
	ruleset   *ruleset.Ruleset
	endpoints []platform.Endpoint
	// revision is the number of the latest snapshot of this process.
	revision uint64
	// addresses holds the addresses of the endpoints.
	addresses map[string]bool
}

// quotaSlackFraction is the fraction of the platform's allowed rate overshoot that teams
// may use as debt. The rest absorbs hosts that disagree briefly on their shares.
const quotaSlackFraction = 0.25

// setRuleset puts a configuration into effect.
func (h *Host) setRuleset(r *ruleset.Ruleset, source string) {
	h.view.mu.Lock()
	h.view.ruleset = r
	h.publishLimits()
	h.publishSnapshot()
	h.view.mu.Unlock()
	h.gateway.SetRuleset(r)
	logs.With(h.log, logs.ConfigurationInForce).WithFields(logrus.Fields{
		"version": r.Version, "routes": len(r.Routes), "teams": len(r.Teams), "targets": len(r.Targets),
		"source": source,
	}).Info()
}

// publishLimits posts the teams' rate limits, from the configuration and the settings in
// effect, to the control loop. The caller holds h.view.mu.
func (h *Host) publishLimits() {
	if h.view.ruleset == nil {
		return
	}
	s := h.settings.Load()
	limits := map[ident.Team]quota.Limit{}
	for i := range h.view.ruleset.Teams {
		t := &h.view.ruleset.Teams[i]
		limit := quota.Limit{Rate: t.Rate, Burst: t.Burst, Debt: quotaSlackFraction * s.QuotaSlack}
		limits[t.Name] = limit.SpreadBurst(s.QuotaWindow)
	}
	h.loop.Post(control.TeamLimits{Teams: limits})
}

// setEndpoints replaces the known endpoints with list.
func (h *Host) setEndpoints(list []platform.Endpoint) {
	h.view.mu.Lock()
	defer h.view.mu.Unlock()
	h.logEndpointChanges(h.view.endpoints, list)
	h.view.endpoints = list
	h.view.addresses = map[string]bool{}
	for _, e := range list {
		h.view.addresses[e.Address] = true
	}
	h.publishSnapshot()
}

// logEndpointChanges logs the differences between two lists of endpoints.
func (h *Host) logEndpointChanges(before, after []platform.Endpoint) {
	remaining := map[ident.Endpoint]platform.Endpoint{}
	for _, e := range before {
		remaining[e.Name] = e
	}
	for _, e := range after {
		previous, known := remaining[e.Name]
		delete(remaining, e.Name)
		event := logs.EndpointIn
		switch {
		case e.Leaving && (!known || !previous.Leaving):
			event = logs.EndpointLeaving
		case known && previous.Leaving == e.Leaving && previous.Address == e.Address && previous.Started == e.Started:
			continue
		}
		logs.With(h.log, event).WithFields(logrus.Fields{
			"endpoint": e.Name, "target": e.Target, "address": e.Address, "domain_of": e.Domain, "slots": e.Slots,
		}).Info()
	}
	for name := range maps.Keys(remaining) {
		logs.With(h.log, logs.EndpointGone).WithField("endpoint", name).Info()
	}
}

// publishSnapshot posts a snapshot of the configuration and the endpoints to the control
// loop. The caller holds h.view.mu.
func (h *Host) publishSnapshot() {
	if h.view.ruleset == nil {
		return
	}
	h.view.revision++
	h.loop.Post(control.ConfigurationChanged{Snapshot: h.snapshot()})
}

// snapshot returns the configuration and the endpoints as resources. The caller holds
// h.view.mu.
func (h *Host) snapshot() *resource.Snapshot {
	snapshot := resource.NewSnapshot()
	snapshot.Revision = h.view.revision
	for _, rank := range h.view.ruleset.Ranks() {
		name := "rank-" + strconv.Itoa(rank)
		snapshot.Tiers[name] = resource.Tier{Name: ident.Tier(name), Rank: rank}
	}
	for i := range h.view.ruleset.Teams {
		name := h.view.ruleset.Teams[i].Name
		snapshot.Teams[string(name)] = resource.Team{Name: name, Weight: 1}
	}
	for _, e := range h.view.endpoints {
		snapshot.Endpoints[string(e.Name)] = h.endpoint(e)
	}
	return snapshot
}

// callsAhead is the number of calls sent to a plain service beyond its slots. A report and
// a grant take about 5 ms between hosts, a tenth of a call on the users' sites, and a slot
// would be idle for that time.
const callsAhead = 1

// endpoint converts an endpoint of the store to a resource.
func (h *Host) endpoint(e platform.Endpoint) resource.Endpoint {
	out := resource.Endpoint{
		Name: e.Name, Address: e.Address, Domain: e.Domain, Scope: h.settings.Load().Region, Target: e.Target,
		State: resource.EndpointActive, Slots: e.Slots, SpeedsAssumed: true, EndsWithConnection: true, Started: e.Started,
		Version: e.Version,
	}
	if e.Leaving {
		out.State = resource.EndpointDrain
	}
	t := h.view.ruleset.Target(e.Target)
	if t == nil || t.Engine == nil {
		out.Type, out.Ahead = resource.EndpointService, callsAhead
		return out
	}
	out.Type, out.CacheTokens = resource.EndpointEngine, t.Engine.CacheTokens
	return out
}

// connectionSweepInterval is the interval at which unused connections are checked.
const connectionSweepInterval = 1 * time.Second

// sweepConnections periodically closes unused connections to endpoints that are no longer
// listed.
func (h *Host) sweepConnections(ctx context.Context) {
	ticker := time.NewTicker(connectionSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		h.view.mu.Lock()
		addresses := h.view.addresses
		h.view.mu.Unlock()
		h.gateway.Sweep(func(address string) bool { return addresses[address] })
	}
}

// ignoreWatch is the Watch port. Endpoints on the platform aren't watched: they report
// their load with their answers.
func ignoreWatch([]resource.Endpoint) {}

// ignoreOrder is the ExecuteOrder port. Endpoints on the platform receive no orders.
func ignoreOrder(order.Effect) {}
