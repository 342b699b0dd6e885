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

// poolLogInterval is the interval at which the state of the pools is logged.
const poolLogInterval = 2 * time.Second

// watchPools logs each change of the host that schedules a pool, and periodically the
// state of the pools that this host schedules.
func (h *Host) watchPools(ctx context.Context) {
	ticker := time.NewTicker(poolLogInterval)
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
				h.logPool(p.Detail)
			}
		}
	}
}

// logPool logs the state of a pool that this host schedules.
func (h *Host) logPool(s *pool.Status) {
	waiting, held, inFlight, slots, pending := 0, 0, 0, 0, 0
	var wait time.Duration
	for _, q := range s.Queue {
		waiting += q.Waiting
		held += q.Held
		wait = max(wait, q.Wait)
	}
	var endpoints, closed, slow []string
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		inFlight += e.InFlight
		pending += e.PendingTokens
		if e.Load() == "slow" {
			slow = append(slow, string(e.Name))
		}
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
		"slow": strings.Join(slow, " "), "promised_ms": s.Promises.Outstanding.Milliseconds(),
		"lending":       s.Lending,
		"promises_made": s.Promises.Made, "promises_kept": s.Promises.Kept, "promises_lapsed": s.Promises.Lapsed,
	}).Info()
}
