package control

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/system/configuration"
	"github.com/trefoilchute/trefoilchute/internal/system/membership"
	"github.com/trefoilchute/trefoilchute/internal/system/order"
)

// Members returns every host that this one knows.
func (c *Core) Members() []membership.Member {
	return c.members.Members()
}

// SinceLastMessage returns the time since a host's last message came. It returns false
// for a host that has sent none: each host hears directly from some others only.
func (c *Core) SinceLastMessage(h ident.Host) (time.Duration, bool) {
	at, ok := c.heard[h]
	return c.now - at, ok
}

// PoolStatus is a pool as this host knows it.
type PoolStatus struct {
	Pool      ident.Pool
	Scheduler ident.Host
	// Detail is set at the host that schedules the pool.
	Detail *pool.Status
}

// Pools returns every declared pool.
func (c *Core) Pools() []PoolStatus {
	if c.snapshot == nil {
		return nil
	}
	var list []PoolStatus
	for _, p := range c.scheduling.DeclaredPools() {
		host, _ := c.scheduler(p)
		list = append(list, PoolStatus{Pool: p, Scheduler: host, Detail: c.scheduling.Status(p)})
	}
	return list
}

// RateShares returns the part of each team's rate that this host holds.
func (c *Core) RateShares() map[ident.Team]float64 {
	return c.quotas.Shares()
}

// Suspects returns what is known of requests that crashed endpoints.
func (c *Core) Suspects() []*peerpb.Suspect {
	return c.scheduling.Suspects(c.now)
}

// Orders returns the condition of every declared order of this domain, as this
// host knows it.
func (c *Core) Orders() []order.Condition {
	return c.orders.Conditions()
}

// Configuration tells where the configuration in force comes from.
func (c *Core) Configuration() configuration.Status {
	return c.configuration.Status()
}
