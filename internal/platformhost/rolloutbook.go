package platformhost

import (
	"maps"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/rollout"
	"github.com/trefoilchute/trefoilchute/platform"
)

const (
	// rolloutSpread is added to the age of an order, because an order is first read by a
	// scheduler up to this long after the store confirmed it: a query interval, and calls.
	rolloutSpread = 1 * time.Second
	// rolloutConfirmed is how long after a read the store counts as reachable. A poll is held
	// open for rolloutWait and may be followed by a slow one.
	rolloutConfirmed = 2 * time.Second
	// claimInterval is how long a scheduler leaves another's claim of the same pool alone. Two
	// hosts that are cut off from each other both schedule, and change the claim in turn.
	claimInterval = 2 * time.Second
	// claimSettle is how long a claim must have stood before its host completes a roll-out.
	// Another host that also schedules the pool, and may use the old endpoints, would have
	// claimed it by then: after a poll, claimInterval and a slow write.
	claimSettle = 4 * time.Second
	// completedHold is how long after a roll-out was completed the old endpoints get nothing.
	// They are stopped at once, but their rows may be kept for the length of a store outage.
	// Later on, endpoints may be replaced by those of other versions without an order.
	completedHold = 10 * time.Minute
	// withdrawnHold is the same for the new endpoints after an order was withdrawn. They are
	// stopped some seconds later.
	withdrawnHold = 1 * time.Minute
)

// Reasons of decisions that no pool takes.
const (
	reasonWithdrawn = "the order was withdrawn"
	reasonLimit     = "the time limit passed without a decision"
)

// rolloutBook holds the roll-out orders, the stored rows and the decisions that are to be
// written, and decides what to write and what to tell the schedulers. It does no I/O and reads
// no clock. Times are on the clock of package clock, unless they are the store's. The calls grow
// with the number of targets that have an order, not with requests.
type rolloutBook struct {
	// self identifies this process, and region is the one whose pools it may schedule.
	self   string
	region ident.Domain
	// orders holds the orders in force, by target; nil before they are known.
	orders map[string]rollout.Order
	// rows holds the stored rows as last read, by target.
	rows map[string]platform.Rollout
	// scheduledSince holds, by target, since when this host has scheduled the pool.
	scheduledSince map[string]time.Duration
	// goneSince holds, by target, since when the pool of an undecided order that was withdrawn has
	// not been scheduled here. Its scheduler decides it, without telling this host.
	goneSince map[string]time.Duration
	// verdicts holds the decisions of the pools that are not stored yet, by target.
	verdicts map[string]rollout.Verdict
	// readAt is the last time for which the rows are known to be correct, and storeNow the
	// store's clock then; 0 before the first read.
	readAt, storeNow time.Duration
	// failed is set if the last read failed.
	failed bool
	// era is the store's era of the last read, and stale is set if the store is in a later one.
	era   platform.Era
	stale bool
	// kept holds rows of the era before with more than the store has, by target, until they are written
	// again.
	kept map[string]platform.Rollout
}

func newRolloutBook(self string, region ident.Domain) rolloutBook {
	return rolloutBook{
		self: self, region: region, rows: map[string]platform.Rollout{},
		scheduledSince: map[string]time.Duration{}, goneSince: map[string]time.Duration{}, verdicts: map[string]rollout.Verdict{},
		kept: map[string]platform.Rollout{},
	}
}

// setOrders replaces the orders in force. An order that is gone was withdrawn: its row is
// assumed to exist until the rows have been read, so that the host that schedules the pool by
// then looks for it.
func (b *rolloutBook) setOrders(list []rollout.Order) {
	before := b.orders
	b.orders = make(map[string]rollout.Order, len(list))
	for _, o := range list {
		if o.Again != 0 {
			b.rename(o)
			o.Again = 0
		}
		b.orders[o.Target] = o
	}
	for target, o := range before {
		_, ordered := b.orders[target]
		if _, stored := b.rows[target]; !ordered && !stored {
			b.rows[target] = platform.Rollout{Order: o}
		}
	}
}

// targets returns the targets that have an order or a row, in order.
func (b *rolloutBook) targets() []string {
	set := map[string]bool{}
	for target := range b.orders {
		set[target] = true
	}
	for target := range b.rows {
		set[target] = true
	}
	for target := range b.kept {
		set[target] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// setScheduled records which targets' pools this host schedules. Decisions to complete are
// dropped with the pool, because its next scheduler may have moved traffic back.
func (b *rolloutBook) setScheduled(now time.Duration, scheduled map[string]bool) {
	since, gone := map[string]time.Duration{}, map[string]time.Duration{}
	for _, target := range b.targets() {
		if e := b.entry(target); e.withdrawn && e.open && !scheduled[target] {
			gone[target] = now
			if at, before := b.goneSince[target]; before {
				gone[target] = at
			}
			if now-gone[target] > withdrawnHold {
				delete(b.rows, target)
				delete(b.kept, target)
			}
		}
		if !scheduled[target] {
			if b.verdicts[target].State == rollout.Completed {
				delete(b.verdicts, target)
			}
			continue
		}
		since[target] = now
		if at, before := b.scheduledSince[target]; before {
			since[target] = at
		}
	}
	b.scheduledSince, b.goneSince = since, gone
}

// read applies rows of the own table that were correct at a given time: the whole table if
// whole is set, otherwise changes. It returns the rows with a new state and the invalid ones.
func (b *rolloutBook) read(page platform.Page, at time.Duration, whole bool) (changed []platform.Rollout, skipped []string) {
	b.enterEra(page.Era)
	listed := map[string]bool{}
	for _, row := range page.Rows {
		known := b.rows[row.Key]
		listed[row.Key] = true
		if row.Version <= known.Version {
			continue
		}
		if row.Deleted {
			delete(b.rows, row.Key)
			continue
		}
		r, err := platform.DecodeRollout(row)
		if err != nil {
			// The row is replaced like one of an earlier order.
			skipped = append(skipped, row.Key)
			r = platform.Rollout{Version: row.Version}
		} else if known.Version == 0 || r.State != known.State || r.Good != known.Good || r.Order != known.Order {
			changed = append(changed, r)
		}
		b.rows[row.Key] = r
	}
	for target, r := range b.rows {
		if whole && !listed[target] && r.Version <= page.Version {
			delete(b.rows, target)
		}
	}
	b.forgetKept()
	b.failed = false
	if at > b.readAt {
		b.readAt, b.storeNow = at, page.Now()
	}
	return changed, skipped
}

// storeTime converts a time to the store's clock.
func (b *rolloutBook) storeTime(at time.Duration) time.Duration {
	return b.storeNow + at - b.readAt
}

// age returns the time since an order was confirmed.
func (b *rolloutBook) age(now time.Duration, row platform.Rollout) time.Duration {
	return max(0, b.storeTime(now)-row.FirstSeen) + rolloutSpread
}

// decide takes a decision of a pool that this host schedules. One against the new version is not
// taken back. A scheduler that goes on for a while after another host has taken its pool over has
// no say.
func (b *rolloutBook) decide(v rollout.Verdict) {
	if _, scheduled := b.scheduledSince[v.Order.Target]; !scheduled {
		return
	}
	known, ok := b.verdicts[v.Order.Target]
	if ok && known.Order.ID == v.Order.ID && known.State == rollout.RolledBack {
		return
	}
	b.verdicts[v.Order.Target] = v
}

// entry is what is known of a target's roll-out.
type rolloutEntry struct {
	target string
	order  rollout.Order
	// row is the stored row; its version is 0 if there is none. lost is set if the store has lost it, or
	// what it said last.
	row  platform.Rollout
	lost bool
	// withdrawn is set if the order has no row in the operators' table any more.
	withdrawn bool
	// open is set if the order is not decided yet, as far as this host knows.
	open bool
	// scheduled is set if this host schedules the pool, and current if the rows have been read
	// since then.
	scheduled, current bool
	// claimed is set if the row names this process as the scheduler of its region.
	claimed bool
	// verdict is the pool's decision, if decided is set.
	verdict rollout.Verdict
	decided bool
}

// entry returns what is known of a target's roll-out.
func (b *rolloutBook) entry(target string) rolloutEntry {
	e := rolloutEntry{target: target}
	e.row, e.lost = b.row(target)
	var ordered bool
	if e.order, ordered = b.orders[target]; ordered {
		// A row of a later order means that the orders here are not up to date.
		e.open = e.row.Order.ID < e.order.ID || e.stored() && e.row.State == rollout.Running
	} else {
		e.order, e.withdrawn = e.row.Order, b.orders != nil
		e.open = e.withdrawn && e.order.ID != 0 && e.row.State == rollout.Running
	}
	var since time.Duration
	since, e.scheduled = b.scheduledSince[target]
	e.current = e.scheduled && b.readAt > since
	e.claimed = e.stored() && e.row.Regions[b.region].Scheduler == b.self
	e.verdict, e.decided = b.verdicts[target]
	e.decided = e.decided && e.open && e.verdict.Order.ID == e.order.ID
	return e
}

// stored reports whether the row is that of the order.
func (e *rolloutEntry) stored() bool {
	return e.row.Order.ID == e.order.ID
}

// entries returns what is known of all roll-outs, by target.
func (b *rolloutBook) entries() []rolloutEntry {
	targets := b.targets()
	list := make([]rolloutEntry, len(targets))
	for i, target := range targets {
		list[i] = b.entry(target)
	}
	return list
}

// needsRows reports whether the rows have to be kept up to date.
func (b *rolloutBook) needsRows() bool {
	return b.stale && len(b.rows)+len(b.kept) > 0 ||
		slices.ContainsFunc(b.entries(), func(e rolloutEntry) bool { return (e.open || e.lost) && (e.scheduled || e.decided) })
}

// active reports whether an order is not decided yet, as far as this host knows.
func (b *rolloutBook) active() bool {
	return slices.ContainsFunc(b.entries(), func(e rolloutEntry) bool { return e.open })
}

// next returns the next row to write.
func (b *rolloutBook) next(now time.Duration) (platform.RolloutWrite, bool) {
	if b.readAt == 0 {
		return platform.RolloutWrite{}, false
	}
	for _, e := range b.entries() {
		if !e.decided {
			delete(b.verdicts, e.target)
		}
		if w, due := b.nextOf(now, &e); due {
			return w, true
		}
	}
	return platform.RolloutWrite{}, false
}

// nextOf returns the next write of a target's row.
func (b *rolloutBook) nextOf(now time.Duration, e *rolloutEntry) (platform.RolloutWrite, bool) {
	bad := e.decided && e.verdict.State == rollout.RolledBack
	switch {
	case e.lost && e.scheduled:
		return platform.RolloutWrite{Rollout: e.row, Withdrawn: e.withdrawn}, true
	case !e.open:
	case bad && e.stored() && e.row.Version > 0:
		// This may be written late, by a host that no longer schedules the pool.
		return b.final(now, e, rollout.RolledBack, e.verdict.Reason, e.verdict.Samples), true
	case !e.current:
		// The scheduler writes; it may have decided otherwise by now.
	case e.withdrawn:
		return b.final(now, e, rollout.RolledBack, reasonWithdrawn, e.row.Samples), true
	case !e.stored():
		first := platform.Rollout{Version: e.row.Version, Order: e.order, FirstSeen: b.storeTime(now)}
		return platform.RolloutWrite{Rollout: b.claim(now, first)}, true
	case b.takesOver(e) || b.claimIsOld(now, e):
		return platform.RolloutWrite{Rollout: b.claim(now, e.row), KeepStatus: true}, true
	case e.decided && b.settled(now, e) && !e.row.Regions[b.region].Moved:
		return b.moved(now, e), true
	case b.age(now, e.row) >= e.order.Duration:
		return b.final(now, e, rollout.RolledBack, reasonLimit, e.row.Samples), true
	}
	return platform.RolloutWrite{}, false
}

// takesOver reports whether this process has begun to schedule the pool since the last claim in
// the row, so that it has to claim the pool before candidates get anything.
func (b *rolloutBook) takesOver(e *rolloutEntry) bool {
	return !e.claimed && b.claimedAt(e) <= b.storeTime(b.scheduledSince[e.target])
}

// claimIsOld reports whether another process, which this one does not take for the scheduler, has
// held the claim for a while.
func (b *rolloutBook) claimIsOld(now time.Duration, e *rolloutEntry) bool {
	return !e.claimed && b.storeTime(now)-b.claimedAt(e) >= claimInterval
}

// settled reports whether this process has held the claim for a while.
func (b *rolloutBook) settled(now time.Duration, e *rolloutEntry) bool {
	return e.claimed && b.storeTime(now)-b.claimedAt(e) >= claimSettle
}

// claimedAt returns the time of the last claim of the pool, on the store's clock.
func (b *rolloutBook) claimedAt(e *rolloutEntry) time.Duration {
	return time.Duration(e.row.Regions[b.region].ClaimedMs) * time.Millisecond
}

// claim returns a row with this process as the scheduler of its region.
func (b *rolloutBook) claim(now time.Duration, row platform.Rollout) platform.Rollout {
	return b.withRegion(row, platform.RolloutRegion{Scheduler: b.self, ClaimedMs: b.storeTime(now).Milliseconds()})
}

// withRegion returns a row with another entry of this host's region.
func (b *rolloutBook) withRegion(row platform.Rollout, region platform.RolloutRegion) platform.Rollout {
	row.Regions = maps.Clone(row.Regions)
	if row.Regions == nil {
		row.Regions = map[ident.Domain]platform.RolloutRegion{}
	}
	row.Regions[b.region] = region
	return row
}

// moved writes that all traffic of the region has moved. The last region to move completes the
// roll-out.
func (b *rolloutBook) moved(now time.Duration, e *rolloutEntry) platform.RolloutWrite {
	region := e.row.Regions[b.region]
	region.Moved = true
	if !e.row.Good {
		e.row.Good, e.row.Reason, e.row.Samples = true, e.verdict.Reason, e.verdict.Samples
	}
	e.row = b.withRegion(e.row, region)
	for _, r := range e.row.Regions {
		if !r.Moved {
			return platform.RolloutWrite{Rollout: e.row, KeepStatus: true}
		}
	}
	return b.final(now, e, rollout.Completed, e.row.Reason, e.row.Samples)
}

// final returns a write with a decision.
func (b *rolloutBook) final(now time.Duration, e *rolloutEntry, state rollout.State, reason string, samples rollout.Samples) platform.RolloutWrite {
	row := e.row
	row.State, row.Reason, row.Samples, row.Decided = state, reason, samples, b.storeTime(now)
	return platform.RolloutWrite{Rollout: row, Withdrawn: e.withdrawn}
}

// following returns the orders that another region's scheduler has judged good, so that this
// host's pool has to move its traffic without a judgement of its own.
func (b *rolloutBook) following() []rollout.Order {
	var list []rollout.Order
	for _, e := range b.entries() {
		if e.open && !e.withdrawn && e.claimed && e.current && e.row.Good && !e.row.Regions[b.region].Moved {
			list = append(list, e.order)
		}
	}
	return list
}

// statuses returns what the schedulers are to know of the orders.
func (b *rolloutBook) statuses(now time.Duration) []rollout.Status {
	var list []rollout.Status
	confirmed := b.readAt > 0 && !b.failed && now-b.readAt < rolloutConfirmed
	for _, e := range b.entries() {
		s := rollout.Status{Order: e.order, Confirmed: confirmed}
		if e.stored() && (e.row.Version > 0 || e.lost) {
			s.State, s.Elapsed = e.row.State, b.age(now, e.row)
			s.Known = !e.open || e.current && !b.takesOver(&e)
			if s.Known && e.open && e.row.Good {
				// Judged good by another scheduler, or by this one, which goes on.
				s.State = rollout.Completed
			}
		}
		since := b.storeTime(now) - e.row.Decided
		switch {
		case e.withdrawn && (e.row.State == rollout.Completed || !e.open && since > withdrawnHold), e.order.ID == 0:
			continue
		case e.withdrawn, e.decided && e.verdict.State == rollout.RolledBack:
			// Takes effect before it is stored.
			s.State, s.Known = rollout.RolledBack, true
		case !e.open && s.State == rollout.Completed && since > completedHold:
			continue
		}
		list = append(list, s)
	}
	return list
}
