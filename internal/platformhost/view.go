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

// view is what the store has told: the configuration and the endpoints. Control
// gets both as one snapshot.
type view struct {
	mu        sync.Mutex
	rules     *ruleset.Ruleset
	endpoints []platform.Endpoint
	// revision numbers the snapshots of this process.
	revision uint64
	// addresses are those of the endpoints.
	addresses map[string]bool
}

// debtShare is the part of the platform's slack for rates that is used: the rest is
// for hosts that disagree for a moment on their shares.
const debtShare = 0.25

// adoptRules brings a configuration into force.
func (h *Host) adoptRules(r *ruleset.Ruleset, source string) {
	h.view.mu.Lock()
	h.view.rules = r
	h.publishLimits()
	h.publish()
	h.view.mu.Unlock()
	h.gateway.SetRuleset(r)
	logs.With(h.log, logs.ConfigurationInForce).WithFields(logrus.Fields{
		"version": r.Version, "routes": len(r.Routes), "teams": len(r.Teams), "targets": len(r.Targets),
		"source": source,
	}).Info()
}

// publishLimits hands control the teams' rates, by the configuration and the settings in
// force. The caller holds the view.
func (h *Host) publishLimits() {
	if h.view.rules == nil {
		return
	}
	s := h.settings.Load()
	limits := map[ident.Team]quota.Limit{}
	for i := range h.view.rules.Teams {
		t := &h.view.rules.Teams[i]
		limit := quota.Limit{Rate: t.Rate, Burst: t.Burst, Debt: debtShare * s.QuotaSlack}
		limits[t.Name] = limit.SpreadBurst(s.QuotaWindow)
	}
	h.loop.Post(control.TeamLimits{Teams: limits})
}

// adoptEndpoints takes the endpoints of now.
func (h *Host) adoptEndpoints(list []platform.Endpoint) {
	h.view.mu.Lock()
	defer h.view.mu.Unlock()
	h.tellEndpoints(h.view.endpoints, list)
	h.view.endpoints = list
	h.view.addresses = map[string]bool{}
	for _, e := range list {
		h.view.addresses[e.Address] = true
	}
	h.publish()
}

// tellEndpoints logs what changed between two lists of endpoints.
func (h *Host) tellEndpoints(before, after []platform.Endpoint) {
	old := map[ident.Endpoint]platform.Endpoint{}
	for _, e := range before {
		old[e.Name] = e
	}
	for _, e := range after {
		was, known := old[e.Name]
		delete(old, e.Name)
		event := logs.EndpointIn
		switch {
		case e.Leaving && (!known || !was.Leaving):
			event = logs.EndpointLeaving
		case known && was.Leaving == e.Leaving && was.Address == e.Address && was.Started == e.Started:
			continue
		}
		logs.With(h.log, event).WithFields(logrus.Fields{
			"endpoint": e.Name, "target": e.Target, "address": e.Address, "domain_of": e.Domain, "slots": e.Slots,
		}).Info()
	}
	for name := range maps.Keys(old) {
		logs.With(h.log, logs.EndpointGone).WithField("endpoint", name).Info()
	}
}

// publish hands control a snapshot of what is known. The caller holds the view.
func (h *Host) publish() {
	if h.view.rules == nil {
		return
	}
	h.view.revision++
	h.loop.Post(control.ConfigurationChanged{Snapshot: h.snapshot()})
}

// snapshot returns the configuration and the endpoints as resources.
func (h *Host) snapshot() *resource.Snapshot {
	snap := resource.NewSnapshot()
	snap.Revision = h.view.revision
	for _, rank := range h.view.rules.Ranks() {
		name := "rank-" + strconv.Itoa(rank)
		snap.Tiers[name] = resource.Tier{Name: ident.Tier(name), Rank: rank}
	}
	for i := range h.view.rules.Teams {
		name := h.view.rules.Teams[i].Name
		snap.Teams[string(name)] = resource.Team{Name: name, Weight: 1}
	}
	for _, e := range h.view.endpoints {
		snap.Endpoints[string(e.Name)] = h.endpoint(e)
	}
	return snap
}

// callsAhead is how many calls a plain service is given beyond its slots. A report and a
// grant take about 5 ms between hosts, a tenth of a call on the users' sites, in which a
// slot would stand empty.
const callsAhead = 1

// endpoint returns an endpoint as a resource.
func (h *Host) endpoint(e platform.Endpoint) resource.Endpoint {
	out := resource.Endpoint{
		Name: e.Name, Address: e.Address, Domain: e.Domain, Scope: h.settings.Load().Region, Target: e.Target,
		State: resource.EndpointActive, Slots: e.Slots, SpeedsAssumed: true, EndsWithConnection: true, Started: e.Started,
	}
	if e.Leaving {
		out.State = resource.EndpointDrain
	}
	t := h.view.rules.Target(e.Target)
	if t == nil || t.Engine == nil {
		out.Type, out.Ahead = resource.EndpointService, callsAhead
		return out
	}
	out.Type, out.CacheTokens = resource.EndpointEngine, t.Engine.CacheTokens
	return out
}

// sweepInterval is the time between two looks at unused connections.
const sweepInterval = 1 * time.Second

// sweep closes unused connections to endpoints that are gone.
func (h *Host) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
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

// ignoreWatch and ignoreOrder stand for what has no use on the platform: endpoints
// are not watched but tell their load with their answers, and get no orders.
func ignoreWatch([]resource.Endpoint) {}

func ignoreOrder(order.Effect) {}
