package follow

import (
	"maps"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/clock"
	"github.com/trefoilchute/trefoilchute/internal/logs"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/rollout"
	"github.com/trefoilchute/trefoilchute/platform"
)

// orders is the table of roll-out orders built from the rows of the operators' table. It does
// no I/O and is not safe for concurrent use.
type orders struct {
	rows map[string]rollout.Order
	era  platform.Era
	// held holds, until heldEnd, the orders of the era before that the store lacks, or in whose place it
	// has others that may be older. early holds the IDs of the orders that the era's first read had.
	held    map[string]rollout.Order
	heldEnd time.Duration
	early   map[string]uint64
}

// enterEra tells the era in which the rows were read that are applied next. In a new one, orders may be
// missing until the operator has written them again, which may take a time.
func (t *orders) enterEra(now time.Duration, era platform.Era, rewriteTime time.Duration) {
	if t.era.Named && era != t.era {
		known := t.list()
		t.held, t.heldEnd, t.early = map[string]rollout.Order{}, now+rewriteTime, nil
		for _, o := range known {
			o.Again = 0
			t.held[o.Target] = o
		}
	}
	t.era = era
}

// settle decides which orders are still held after rows were applied.
func (t *orders) settle(now time.Duration) {
	if now >= t.heldEnd {
		t.held = nil
	}
	first := t.early == nil
	if first {
		t.early = map[string]uint64{}
	}
	for target, o := range t.rows {
		before, held := t.held[target]
		if first {
			t.early[target] = o.ID
		}
		switch {
		case !held:
		case o.Version == before.Version && o.Duration == before.Duration:
			if o.ID != before.ID {
				o.Again = before.ID
				t.rows[target] = o
			}
			delete(t.held, target)
		case o.ID != t.early[target]:
			// The operator has written another one since.
			delete(t.held, target)
		}
	}
}

// update applies rows: the whole table if whole is set, otherwise only changes. It returns the
// rows that are no valid orders. Such a row withdraws the order that it replaces.
func (t *orders) update(rows []platform.Row, whole bool) (skipped []Skipped) {
	if whole || t.rows == nil {
		t.rows = map[string]rollout.Order{}
	}
	for _, row := range rows {
		target, ok := platform.RolloutTarget(row)
		if !ok {
			continue
		}
		delete(t.rows, target)
		if row.Deleted {
			delete(t.held, target)
			continue
		}
		order, err := platform.DecodeOrder(row)
		if err != nil {
			skipped = append(skipped, Skipped{Row: row.Key, Err: err})
			continue
		}
		t.rows[target] = order
	}
	return skipped
}

// list returns the orders sorted by target.
func (t *orders) list() []rollout.Order {
	all := maps.Clone(t.rows)
	maps.Copy(all, t.held)
	list := make([]rollout.Order, 0, len(all))
	for _, target := range slices.Sorted(maps.Keys(all)) {
		list = append(list, all[target])
	}
	return list
}

// applyOrders applies rows read from the operators' table.
func (f *Follower) applyOrders(t *orders, page platform.Page, asked time.Duration, whole bool) {
	if f.opts.OnOrders == nil {
		return
	}
	now := clock.Boot()
	if page.Era.Named || t.era.Named {
		t.enterEra(now, page.Era, f.opts.KeyLife())
	}
	skipped := t.update(page.Rows, whole)
	t.settle(now)
	for _, s := range skipped {
		logs.With(f.opts.Log, logs.RolloutOrderRejected).WithField("row", s.Row).WithError(s.Err).Error()
	}
	f.adoptOrders(t.list(), asked)
}

// adoptOrders takes over the orders as of a given time, unless those known are more recent.
func (f *Follower) adoptOrders(list []rollout.Order, at time.Duration) {
	f.ordersMu.Lock()
	defer f.ordersMu.Unlock()
	s := &f.state
	s.mu.Lock()
	first := s.ordersAt == 0
	newer := at > s.ordersAt
	changed := newer && (first || !slices.Equal(list, s.orders))
	if newer {
		s.orders, s.ordersAt = list, at
	}
	s.mu.Unlock()
	if changed {
		f.opts.OnOrders(list)
	}
}

// addOrders adds the orders to an answer. The answer states the age of the configuration, so
// orders that are older are left out. The caller must hold f.state.mu.
func (f *Follower) addOrders(m *peerpb.StoreTell) {
	s := &f.state
	if f.opts.OnOrders == nil || s.ordersAt == 0 || s.ordersAt < s.confirmed {
		return
	}
	m.HasRollouts = true
	for _, o := range s.orders {
		m.Rollouts = append(m.Rollouts, &peerpb.StoreRollout{
			Target: o.Target, Version: o.Version, Order: o.ID, DurationUs: o.Duration.Microseconds(), Again: o.Again,
		})
	}
}

// handleOrders applies the orders of an answer, which were correct at a given time.
func (f *Follower) handleOrders(m *peerpb.StoreTell, at time.Duration) {
	if f.opts.OnOrders == nil || !m.GetHasRollouts() {
		return
	}
	list := make([]rollout.Order, 0, len(m.GetRollouts()))
	for _, o := range m.GetRollouts() {
		list = append(list, rollout.Order{
			ID: o.GetOrder(), Target: o.GetTarget(), Version: o.GetVersion(), Duration: micros(o.GetDurationUs()), Again: o.GetAgain(),
		})
	}
	f.adoptOrders(list, at)
}
