package report

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/resource"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// periodsKept is how many periods a host keeps in memory: those of the longest
// window, and the current one.
const periodsKept = int(longestWindow/period) + 2

// Answer is one request's final answer.
type Answer struct {
	Tier ident.Tier
	Team ident.Team
	Code result.Code
	// InTime says that the whole answer came before the deadline.
	InTime bool
	// FirstToken is the time from arrival to the first token; 0 if none came.
	FirstToken time.Duration
	// TokenGap is the mean time between tokens; 0 if not known.
	TokenGap time.Duration
}

// counted says whether an answer is one that objectives are about: the
// caller's mistakes and callers that left are not.
func (a *Answer) counted() bool {
	mistake := a.Code >= result.BadRequest && a.Code < result.Conflict
	return !mistake && a.Code != result.CallerGone
}

// openPeriod is one period in the collector.
type openPeriod struct {
	start time.Time
	// from is the first minute that is counted.
	from   int
	counts map[lineKey]*Counts
	// written is the number of minutes that were written; -1: none.
	written int
}

// Collector counts one host's answers. It is safe for concurrent use.
type Collector struct {
	host        ident.Host
	incarnation uint64
	// began is the minute in which the host began to count.
	began time.Time

	mu         sync.Mutex
	objectives map[ident.Tier]resource.Objective
	periods    []*openPeriod
}

// NewCollector returns a Collector of a host that begins to count now.
func NewCollector(host ident.Host, incarnation uint64, now time.Time) *Collector {
	return &Collector{host: host, incarnation: incarnation, began: now.UTC().Truncate(minute)}
}

// Configure sets the objectives that answers are held to from now on.
func (c *Collector) Configure(snapshot *resource.Snapshot) {
	objectives := make(map[ident.Tier]resource.Objective, len(snapshot.Objectives))
	for _, objective := range snapshot.Objectives {
		objectives[objective.Tier] = objective
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.objectives = objectives
}

// Add counts an answer that was given now.
func (c *Collector) Add(now time.Time, a *Answer) {
	if !a.counted() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.current(now)
	key := lineKey{tier: a.Tier, team: a.Team}
	counts := p.counts[key]
	if counts == nil {
		counts = &Counts{}
		p.counts[key] = counts
	}
	objective := c.objectives[a.Tier]
	counts.count(a, &objective)
}

// count counts one answer.
func (c *Counts) count(a *Answer, objective *resource.Objective) {
	c.Total++
	if a.Code == result.OK && a.InTime {
		c.Good++
	}
	if a.FirstToken > 0 {
		c.First++
		if a.FirstToken <= objective.FirstToken {
			c.FirstGood++
		}
	}
	if a.TokenGap > 0 {
		c.Gap++
		if a.TokenGap <= objective.TokenGap {
			c.GapGood++
		}
	}
}

// current returns the period of a time. A time before the latest period, from
// a clock that was set back, counts as the start of that period.
func (c *Collector) current(now time.Time) *openPeriod {
	c.fill(now)
	return c.periods[len(c.periods)-1]
}

// fill opens the periods up to now, so that one without answers is written too
// and isn't taken for a missing one.
func (c *Collector) fill(now time.Time) {
	if len(c.periods) == 0 {
		c.open(c.began.Truncate(period), int(c.began.Sub(c.began.Truncate(period))/minute))
	}
	next := c.periods[len(c.periods)-1].start.Add(period)
	oldest := now.UTC().Truncate(period).Add(-period * time.Duration(periodsKept))
	if next.Before(oldest) {
		next = oldest
	}
	for ; !next.After(now); next = next.Add(period) {
		c.open(next, 0)
	}
}

// open adds a period of which the minutes from one on are counted, and drops
// the oldest beyond those that are kept.
func (c *Collector) open(start time.Time, from int) {
	c.periods = append(c.periods, &openPeriod{start: start, from: from, counts: map[lineKey]*Counts{}, written: -1})
	if len(c.periods) > periodsKept {
		c.periods = slices.Delete(c.periods, 0, len(c.periods)-periodsKept)
	}
}

// Buckets returns what was counted until now, for each period that is kept.
func (c *Collector) Buckets(now time.Time) []Bucket {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fill(now)
	buckets := make([]Bucket, 0, len(c.periods))
	for _, p := range c.periods {
		buckets = append(buckets, c.bucket(p, now))
	}
	return buckets
}

// unwritten returns the buckets that the store doesn't have as they are now.
func (c *Collector) unwritten(now time.Time) []Bucket {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fill(now)
	var buckets []Bucket
	for _, p := range c.periods {
		if b := c.bucket(p, now); b.Through > p.written && b.Through > b.From {
			buckets = append(buckets, b)
		}
	}
	return buckets
}

// wrote notes that the store has a bucket.
func (c *Collector) wrote(b *Bucket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.periods {
		if p.start.Unix() == b.Start {
			p.written = max(p.written, b.Through)
		}
	}
}

// bucket returns a period's counts. It covers the minutes that ended before
// now; the answers of the present minute are counted in it, too.
func (c *Collector) bucket(p *openPeriod, now time.Time) Bucket {
	ended := int(now.Sub(p.start) / minute)
	b := Bucket{
		Host: c.host, Incarnation: c.incarnation, Start: p.start.Unix(),
		From: p.from, Through: max(p.from, min(ended, int(period/minute))),
	}
	for key, counts := range p.counts {
		b.Rows = append(b.Rows, Row{Tier: key.tier, Team: key.team, Counts: *counts})
	}
	slices.SortFunc(b.Rows, func(x, y Row) int {
		return cmp.Or(cmp.Compare(x.Tier, y.Tier), cmp.Compare(x.Team, y.Team))
	})
	return b
}
