package report

import (
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

// periodsShown is the number of periods of the longest window.
const periodsShown = int(longestWindow / period)

// lineKey identifies a line. The team is empty for a whole tier.
type lineKey struct {
	tier ident.Tier
	team ident.Team
}

// byPeriod holds a line's counts by periods before the end, 0 for the last.
type byPeriod [periodsShown]Counts

// last adds up the last n periods.
func (p *byPeriod) last(n int) Counts {
	var total Counts
	for i := range n {
		total.add(&p[i])
	}
	return total
}

// span is the time that a bucket covers.
type span struct {
	from, through time.Time
}

// coverage is what one host process has written.
type coverage struct {
	host  ident.Host
	spans []span
}

// Sums adds buckets up, so that they needn't be held all at once.
type Sums struct {
	// end is the end of the windows.
	end     time.Time
	lines   map[lineKey]*byPeriod
	covered map[string]*coverage
}

// NewSums returns empty sums for a report as of now. The windows end with the
// last period whose counts every host has had time to write.
func NewSums(now time.Time) *Sums {
	return &Sums{
		end:     now.UTC().Add(-settleTime).Truncate(period),
		lines:   map[lineKey]*byPeriod{},
		covered: map[string]*coverage{},
	}
}

// Add adds a bucket. Each bucket may be added once only.
func (s *Sums) Add(b *Bucket) {
	c := s.covered[b.writer()]
	if c == nil {
		c = &coverage{host: b.Host}
		s.covered[b.writer()] = c
	}
	c.spans = append(c.spans, span{from: b.from(), through: b.through()})
	start := b.start()
	before := int(s.end.Sub(start)/period) - 1
	if !start.Before(s.end) || before >= periodsShown {
		return
	}
	for i := range b.Rows {
		row := &b.Rows[i]
		s.counts(lineKey{tier: row.Tier}, before).add(&row.Counts)
		s.counts(lineKey{tier: row.Tier, team: row.Team}, before).add(&row.Counts)
	}
}

// counts returns the counts of a line in a period before the end.
func (s *Sums) counts(key lineKey, before int) *Counts {
	line := s.lines[key]
	if line == nil {
		line = &byPeriod{}
		s.lines[key] = line
	}
	return &line[before]
}

// line returns the counts of a line, which are zero if it has no answers.
func (s *Sums) line(key lineKey) *byPeriod {
	if line := s.lines[key]; line != nil {
		return line
	}
	return &byPeriod{}
}
