package control

import "github.com/trefoilchute/trefoilchute/internal/ident"

// Schedules reports whether this host schedules a pool, whether or not the pool has endpoints.
func (c *Core) Schedules(p ident.Pool) bool {
	host, ok := c.scheduler(p)
	return ok && host == c.cfg.Self
}
