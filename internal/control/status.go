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

// Members returns all hosts known to this one.
func (c *Core) Members() []membership.Member {
	return c.members.Members()
}

// SinceLastMessage returns the time since the last message from a host. It returns false
// if the host has sent none, as each host exchanges messages with some of the others
// only.
func (c *Core) SinceLastMessage(h ident.Host) (time.Duration, bool) {
	at, ok := c.lastMessageAt[h]
	return c.now - at, ok
}

// PoolStatus describes a pool as known to this host.
type PoolStatus struct {
	Pool      ident.Pool
	Scheduler ident.Host
	// Detail is set at the host that schedules the pool.
	Detail *pool.Status
}

// Pools returns the status of all declared pools.
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

// RateShares returns this host's share of each team's rate limit.
func (c *Core) RateShares() map[ident.Team]float64 {
	return c.quotas.Shares()
}

// Suspects returns the requests known to be suspected of crashing endpoints.
func (c *Core) Suspects() []*peerpb.Suspect {
	return c.scheduling.Suspects(c.now)
}

// Orders returns the condition of every declared order of this domain, as known to
// this host.
func (c *Core) Orders() []order.Condition {
	return c.orders.Conditions()
}

// Configuration returns the source and status of the configuration in force.
func (c *Core) Configuration() configuration.Status {
	return c.configuration.Status()
}
