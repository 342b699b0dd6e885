package report

import (
	"maps"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

// Reasons of missing counts.
const (
	reasonUnwritten = "not written: the host couldn't reach the object store, or died"
	reasonNone      = "nothing written by this live host"
)

// gaps returns the stretches of the longest window that a host process left
// out between two of its buckets, and those at the end of live hosts. Where
// something couldn't be read, a gap may be the same thing said again; it is
// then left out.
func gaps(in *Input) []Missing {
	end := in.Sums.end
	begin := end.Add(-longestWindow)
	last := map[ident.Host]time.Time{}
	var list []Missing
	for _, writer := range slices.Sorted(maps.Keys(in.Sums.covered)) {
		c := in.Sums.covered[writer]
		spans := slices.SortedFunc(slices.Values(c.spans), func(a, b span) int { return a.from.Compare(b.from) })
		reached := spans[0].from
		for _, s := range spans {
			list = appendGap(list, c.host, reached, s.from, reasonUnwritten, begin, end)
			reached = s.through
		}
		if reached.After(last[c.host]) {
			last[c.host] = reached
		}
	}
	for _, host := range in.Live {
		reached, ok := last[host]
		if !ok {
			list = appendGap(list, host, begin, end, reasonNone, begin, end)
			continue
		}
		list = appendGap(list, host, reached, end, reasonUnwritten, begin, end)
	}
	return slices.DeleteFunc(list, func(m Missing) bool { return said(in.Unread, &m) })
}

// appendGap adds the part of a gap that lies in the window, if there is one.
func appendGap(list []Missing, host ident.Host, from, to time.Time, reason string, begin, end time.Time) []Missing {
	if from.Before(begin) {
		from = begin
	}
	if to.After(end) {
		to = end
	}
	if !from.Before(to) {
		return list
	}
	return append(list, Missing{Host: host, From: from, To: to, Reason: reason})
}

// said says whether what couldn't be read covers a gap.
func said(unread []Missing, gap *Missing) bool {
	for _, u := range unread {
		if (u.Host == "" || u.Host == gap.Host) && !u.From.After(gap.From) && !u.To.Before(gap.To) {
			return true
		}
	}
	return false
}
