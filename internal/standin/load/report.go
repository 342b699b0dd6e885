package load

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

const (
	// maxRecorded is the longest time that the histograms tell apart.
	maxRecorded = 30 * time.Minute
	// figures is the number of significant decimal figures kept.
	figures = 3
)

// Quantiles that the report gives, in percent.
const (
	median = 50
	tail   = 95
)

// times is a histogram of times in microseconds.
type times struct {
	histogram *hdr.Histogram
}

// newTimes returns an empty histogram.
func newTimes() times {
	return times{histogram: hdr.New(1, maxRecorded.Microseconds(), figures)}
}

// add counts one time.
func (t times) add(d time.Duration) {
	_ = t.histogram.RecordValue(min(max(d, time.Microsecond), maxRecorded).Microseconds())
}

// at returns the time at a quantile in percent, with a resolution of 0.1 %; 0
// if nothing was counted.
func (t times) at(percent float64) time.Duration {
	return time.Duration(t.histogram.ValueAtQuantile(percent)) * time.Microsecond
}

// group is the outcomes of one lane and tier.
type group struct {
	lane Lane
	tier string
}

// tally counts the outcomes of a group.
type tally struct {
	offered int
	ends    [kinds]int
	// inTime counts whole answers by their deadline.
	inTime int
	// reasons counts ends other than whole answers.
	reasons map[string]int
}

// Report is the result of a run.
type Report struct {
	deadline time.Duration
	tallies  map[group]*tally
	first    map[Lane]times
	gaps     map[Lane]times
	// lateness is how much later than planned requests were sent.
	lateness times
}

// newReport returns an empty report on answers with a deadline.
func newReport(deadline time.Duration) *Report {
	return &Report{
		deadline: deadline,
		tallies:  map[group]*tally{},
		first:    map[Lane]times{LaneEntry: newTimes(), LaneDirect: newTimes()},
		gaps:     map[Lane]times{LaneEntry: newTimes(), LaneDirect: newTimes()},
		lateness: newTimes(),
	}
}

// add counts one outcome.
func (r *Report) add(p *planned, o *outcome) {
	g := group{lane: p.lane, tier: p.tier}
	t := r.tallies[g]
	if t == nil {
		t = &tally{reasons: map[string]int{}}
		r.tallies[g] = t
	}
	t.offered++
	t.ends[o.kind]++
	if o.kind != whole {
		t.reasons[o.kind.String()+": "+o.reason]++
		return
	}
	if o.total <= r.deadline {
		t.inTime++
	}
	r.first[p.lane].add(o.firstToken)
	for _, gap := range o.gaps {
		r.gaps[p.lane].add(gap)
	}
}

// Faulty returns the number of answers that were cut or not the ones to their
// own requests.
func (r *Report) Faulty() int {
	n := 0
	for _, t := range r.tallies {
		n += t.ends[cut] + t.ends[wrong]
	}
	return n
}

// Goodput returns the share of a lane's requests that were answered whole in
// time, over all tiers; 0 if there were none.
func (r *Report) Goodput(lane Lane) float64 {
	offered, inTime := 0, 0
	for g, t := range r.tallies {
		if g.lane == lane {
			offered += t.offered
			inTime += t.inTime
		}
	}
	return share(inTime, offered)
}

// FirstToken returns the median and the 95th percentile of the time to the
// first token of a lane's whole answers.
func (r *Report) FirstToken(lane Lane) (p50, p95 time.Duration) {
	return r.first[lane].at(median), r.first[lane].at(tail)
}

// Write writes the report as lines of key=value pairs.
func (r *Report) Write(w io.Writer) error {
	out := &lineWriter{w: w}
	for _, g := range slices.SortedFunc(maps.Keys(r.tallies), compareGroups) {
		r.writeTally(out, g)
	}
	lanes := 0
	for _, lane := range []Lane{LaneDirect, LaneEntry} {
		if r.first[lane].histogram.TotalCount() == 0 {
			continue
		}
		lanes++
		p50, p95 := r.FirstToken(lane)
		out.printf("event=latency lane=%s first_token_p50=%v first_token_p95=%v token_gap_p50=%v token_gap_p95=%v\n",
			lane, p50, p95, r.gaps[lane].at(median), r.gaps[lane].at(tail))
	}
	if lanes > 1 {
		direct50, direct95 := r.FirstToken(LaneDirect)
		entry50, entry95 := r.FirstToken(LaneEntry)
		out.printf("event=added_by_entry first_token_p50=%v first_token_p95=%v\n", entry50-direct50, entry95-direct95)
	}
	out.printf("event=sending late_p50=%v late_p95=%v\n", r.lateness.at(median), r.lateness.at(tail))
	return out.err
}

// writeTally writes the counts of a group and the reasons of what went wrong.
func (r *Report) writeTally(out *lineWriter, g group) {
	t := r.tallies[g]
	out.printf("event=answers lane=%s tier=%q offered=%d whole=%d in_time=%d goodput=%.4f refused=%d erred=%d cut=%d wrong=%d failed=%d unsent=%d\n",
		g.lane, g.tier, t.offered, t.ends[whole], t.inTime, share(t.inTime, t.offered),
		t.ends[refused], t.ends[erred], t.ends[cut], t.ends[wrong], t.ends[failed], t.ends[unsent])
	for _, reason := range slices.Sorted(maps.Keys(t.reasons)) {
		out.printf("event=not_whole lane=%s tier=%q count=%d reason=%q\n", g.lane, g.tier, t.reasons[reason], reason)
	}
}

// compareGroups orders groups by lane and tier.
func compareGroups(a, b group) int {
	if a.lane != b.lane {
		return cmp.Compare(a.lane, b.lane)
	}
	return cmp.Compare(a.tier, b.tier)
}

// share returns part / all, and 0 for nothing of nothing.
func share(part, all int) float64 {
	if all == 0 {
		return 0
	}
	return float64(part) / float64(all)
}

// lineWriter keeps the first error of many writes.
type lineWriter struct {
	w   io.Writer
	err error
}

// printf writes one line.
func (l *lineWriter) printf(format string, args ...any) {
	if l.err != nil {
		return
	}
	_, err := fmt.Fprintf(l.w, format, args...)
	l.err = errors.Wrap(err, "write report")
}
