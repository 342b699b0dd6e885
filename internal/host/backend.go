package host

import (
	"context"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/admin"
	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/metrics"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/system/configuration"
	"github.com/trefoilchute/trefoilchute/internal/system/membership"
	"github.com/trefoilchute/trefoilchute/internal/system/order"
)

// hostID is the name of an entry host; the package's own Host is its process.
type hostID = ident.Host

// inspectTimeout bounds one look at the control state.
const inspectTimeout = 2 * time.Second

// backend shows the host to the operators' interface.
type backend struct {
	host     *Host
	snapshot atomic.Pointer[resource.Snapshot]
}

// Snapshot returns the resources in force.
func (b *backend) Snapshot() *resource.Snapshot {
	return b.snapshot.Load()
}

// inspect shows the core to a function; a host that is too busy shows nothing.
func (b *backend) inspect(f func(*control.Core)) {
	ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	_ = b.host.loop.Inspect(ctx, f)
}

// Hosts returns the entry hosts that this one knows.
func (b *backend) Hosts() []admin.HostStatus {
	var members []membership.Member
	var facts admin.HostFacts
	ages := map[ident.Host]time.Duration{}
	b.inspect(func(c *control.Core) {
		members = c.Members()
		for _, m := range members {
			if age, ok := c.SinceLastMessage(m.Host); ok {
				ages[m.Host] = age
			}
		}
		facts = hostFacts(b.host.loop.Now(), c.Configuration())
	})
	facts.Stopping = b.host.stopping.Load()
	list := make([]admin.HostStatus, 0, len(members))
	for _, m := range members {
		status := admin.HostStatus{
			Host: m.Host, Domain: m.Domain, Address: m.Address, Incarnation: m.Incarnation,
			State: admin.HostState(m.State.String()), Revision: m.Revision,
			HeartbeatAgeMillis: admin.NeverHeard,
		}
		if age, ok := ages[m.Host]; ok {
			status.HeartbeatAgeMillis = age.Milliseconds()
		}
		if m.Host == b.host.settings.Host {
			status.HeartbeatAgeMillis = 0
			status.Conditions = facts.Conditions()
		}
		list = append(list, status)
	}
	return list
}

// hostFacts returns what the conditions of this host follow from.
func hostFacts(now time.Duration, c configuration.Status) admin.HostFacts {
	facts := admin.HostFacts{
		Revision: c.Revision, Source: c.Source, PlatformError: c.LastError, SincePlatform: -1,
	}
	if c.Contacted {
		facts.SincePlatform = now - c.LastContact
	}
	return facts
}

// Pools returns every declared pool.
func (b *backend) Pools() []admin.PoolStatus {
	var pools []control.PoolStatus
	var orders []order.Condition
	b.inspect(func(c *control.Core) {
		pools = c.Pools()
		orders = c.Orders()
	})
	snap := b.Snapshot()
	list := make([]admin.PoolStatus, 0, len(pools))
	for _, p := range pools {
		status := admin.PoolStatus{
			Target: p.Pool.Target, Domain: p.Pool.Domain, Scheduler: p.Scheduler,
			Known: p.Detail != nil,
		}
		if p.Detail != nil {
			addDetail(&status, p.Detail, snap, orders)
		}
		list = append(list, status)
	}
	return list
}

// addDetail fills in what only the scheduler's host knows.
func addDetail(status *admin.PoolStatus, detail *pool.Status, snap *resource.Snapshot, orders []order.Condition) {
	status.Epoch = detail.Epoch
	for _, q := range detail.Queue {
		tier := tierName(snap, q.Rank)
		for _, t := range q.Teams {
			status.Queue = append(status.Queue, admin.QueueStatus{
				Tier: tier, Team: t.Team, Waiting: t.Queued, WaitMillis: q.Wait.Milliseconds(),
			})
		}
	}
	for i := range detail.Endpoints {
		e := endpointStatus(&detail.Endpoints[i], snap)
		e.Orders = ordersOf(e.Endpoint, snap, orders)
		status.Endpoints = append(status.Endpoints, e)
	}
}

// endpointStatus returns the operators' view of an endpoint.
func endpointStatus(e *pool.EndpointStatus, snap *resource.Snapshot) admin.EndpointStatus {
	return admin.EndpointStatus{
		Endpoint: e.Name, State: snap.Endpoints[string(e.Name)].State,
		Window: e.Window, InFlight: e.InFlight,
		PrefillRate: e.PrefillRate, DecodeRate: e.DecodeRate,
		Conditions: []admin.Condition{{
			Name: "TakesWork", Holds: e.Reason == "", Reason: e.Reason,
		}},
	}
}

// ordersOf returns the orders to an endpoint, as this host knows them.
func ordersOf(name ident.Endpoint, snap *resource.Snapshot, orders []order.Condition) []admin.OrderStatus {
	var list []admin.OrderStatus
	for _, c := range orders {
		if c.Endpoint != name {
			continue
		}
		declared := snap.Orders[c.Order]
		list = append(list, admin.OrderStatus{
			Name: c.Order, Action: declared.Action, Value: declared.Value,
			State: string(c.Status), Reason: strings.TrimSpace(string(c.Reason) + " " + c.Detail),
		})
	}
	return list
}

// tierName returns the name of the tier with a rank.
func tierName(snap *resource.Snapshot, rank int) ident.Tier {
	for _, t := range snap.Tiers {
		if t.Rank == rank {
			return t.Name
		}
	}
	return ident.Tier(strconv.Itoa(rank))
}

// Quarantine returns the requests that crashed endpoints of this domain.
func (b *backend) Quarantine() []admin.QuarantineStatus {
	var list []admin.QuarantineStatus
	b.inspect(func(c *control.Core) {
		for _, x := range c.Suspects() {
			list = append(list, admin.QuarantineStatus{
				Domain: b.host.settings.Domain, KeyHash: x.GetKeyHash(),
				Fingerprint: x.GetFingerprint(), Crashes: int(x.GetCrashes()),
				Quarantined: x.GetQuarantined(),
			})
		}
	})
	return list
}

// Explain returns what happened to a request. A request that another host
// accepted is named with that host.
func (b *backend) Explain(_ context.Context, id ident.Request) []admin.Record {
	own := b.host.settings.Host
	var list []admin.Record
	for _, r := range b.host.book.Records(id) {
		record := admin.Record{
			Time: r.Time, Host: own, Event: string(r.Event), Code: r.Code,
			Endpoint: r.Endpoint, Reason: r.Reason,
		}
		if r.Code != 0 {
			record.Name = r.Code.String()
		}
		list = append(list, record)
	}
	if accepted, _, ok := strings.Cut(string(id), "."); ok && hostID(accepted) != own {
		list = append(list, admin.Record{
			Time: time.Now(), Host: hostID(accepted), Event: string(logs.AcceptedElsewhere),
			Reason: "host " + accepted + " accepted this request: ask there",
		})
	}
	return list
}

// metrics returns what the host is like at the moment of a scrape.
func (b *backend) metrics() metrics.Status {
	out := metrics.Status{Members: map[string]int{}, Waiting: map[ident.Tier]int{}}
	snap := b.Snapshot()
	if snap == nil {
		return out
	}
	out.Revision = snap.Revision
	b.inspect(func(c *control.Core) {
		for _, m := range c.Members() {
			out.Members[m.State.String()]++
		}
		for _, p := range c.Pools() {
			if p.Detail == nil {
				continue
			}
			for _, q := range p.Detail.Queue {
				out.Waiting[tierName(snap, q.Rank)] += q.Waiting
			}
		}
		_, out.InFlight, _ = c.Counts()
	})
	return out
}
