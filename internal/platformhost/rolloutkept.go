package platformhost

import (
	"maps"

	"github.com/trefoilchute/trefoilchute/internal/rollout"
	"github.com/trefoilchute/trefoilchute/platform"
)

// A store that comes back from an older copy may have lost orders, states and decisions of roll-outs.
// What a scheduler has read or written goes before what the store holds then, so that no decision is taken
// back, until it has been written again.

// eraRose tells that the store is in a later era than the rows.
func (b *rolloutBook) eraRose() {
	b.stale = true
}

// enterEra tells the era in which the rows were read that are applied next. The versions of rows that were
// read in another one say nothing.
func (b *rolloutBook) enterEra(era platform.Era) {
	b.stale = false
	if era == b.era {
		return
	}
	if b.era.Named {
		for target := range b.rows {
			if r, _ := b.row(target); r.Order.ID != 0 {
				b.kept[target] = r
			}
		}
		clear(b.rows)
	}
	b.era = era
}

// row returns what is known of a target's row, with the version that the store has, and whether the store
// has lost it.
func (b *rolloutBook) row(target string) (r platform.Rollout, lost bool) {
	stored := b.rows[target]
	kept, ok := b.kept[target]
	if !ok || !goesBefore(&kept, &stored) {
		return stored, false
	}
	kept.Version = stored.Version
	return kept, true
}

// goesBefore reports whether a row of the era before says more of its order than the stored one.
func goesBefore(kept, stored *platform.Rollout) bool {
	return stored.Order.ID != kept.Order.ID || progress(stored) < progress(kept)
}

// progress orders the rows of one order by how far the roll-out has come.
func progress(r *platform.Rollout) int {
	switch {
	case r.State != rollout.Running:
		return 2
	case r.Good:
		return 1
	}
	return 0
}

// forgetKept forgets the rows that the store has again, and those of orders that were replaced.
func (b *rolloutBook) forgetKept() {
	maps.DeleteFunc(b.kept, func(target string, kept platform.Rollout) bool {
		stored := b.rows[target]
		order, ordered := b.orders[target]
		return !goesBefore(&kept, &stored) || ordered && order.ID != kept.Order.ID
	})
}

// rename gives what is known of an order the ID that it has since the operator wrote it again. The stored
// row is written anew with it.
func (b *rolloutBook) rename(o rollout.Order) {
	if r, _ := b.row(o.Target); r.Order.ID == o.Again {
		r.Order.ID = o.ID
		b.kept[o.Target] = r
	}
	if v, ok := b.verdicts[o.Target]; ok && v.Order.ID == o.Again {
		v.Order.ID = o.ID
		b.verdicts[o.Target] = v
	}
}
