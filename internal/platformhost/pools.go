package platformhost

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/trefoilchute/trefoilchute/internal/control"
	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/pool"
)

// poolInterval is the time between two looks at the pools.
const poolInterval = 2 * time.Second

// watchPools logs which host schedules each pool, when that changes, and the state
// of the pools that are scheduled here.
func (h *Host) watchPools(ctx context.Context) {
	ticker := time.NewTicker(poolInterval)
	defer ticker.Stop()
	schedulers := map[ident.Pool]ident.Host{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var pools []control.PoolStatus
		bounded, cancel := context.WithTimeout(ctx, inspectTimeout)
		err := h.loop.Inspect(bounded, func(c *control.Core) { pools = c.Pools() })
		cancel()
		if err != nil {
			continue
		}
		for _, p := range pools {
			if schedulers[p.Pool] != p.Scheduler {
				schedulers[p.Pool] = p.Scheduler
				logs.With(h.log, logs.PoolScheduler).WithFields(logrus.Fields{
					"pool": p.Pool.String(), "scheduler": p.Scheduler,
				}).Info()
			}
			if p.Detail != nil {
				h.tellPool(p.Detail)
			}
		}
	}
}

// tellPool logs the state of a pool.
func (h *Host) tellPool(s *pool.Status) {
	waiting, held, inFlight, slots, pending := 0, 0, 0, 0, 0
	var wait time.Duration
	for _, q := range s.Queue {
		waiting += q.Waiting
		held += q.Held
		wait = max(wait, q.Wait)
	}
	var endpoints, closed []string
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		inFlight += e.InFlight
		pending += e.PendingTokens
		if e.Reason != "" {
			closed = append(closed, string(e.Name))
			continue
		}
		slots += e.Window - e.Foreign
		endpoints = append(endpoints, string(e.Name)+":"+strconv.Itoa(e.InFlight)+"/"+strconv.Itoa(e.Window-e.Foreign))
	}
	logs.With(h.log, logs.PoolState).WithFields(logrus.Fields{
		"pool": s.Pool.String(), "epoch": s.Epoch, "waiting": waiting, "held": held, "wait_ms": wait.Milliseconds(),
		"granted": s.Holders.Granted, "prefilling": s.Holders.Prefilling, "decoding": s.Holders.Decoding,
		"orphaned": s.Holders.Orphaned, "in_flight": inFlight, "slots": slots, "pending_tokens": pending,
		"endpoints": strings.Join(endpoints, " "), "closed": strings.Join(closed, " "),
	}).Info()
}
