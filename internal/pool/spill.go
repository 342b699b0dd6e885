package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

// remoteTable holds the free capacity of other domains' pools, sorted by domain.
type remoteTable struct {
	rows []*Remote
}

func (t *remoteTable) update(r Remote) {
	i, found := slices.BinarySearchFunc(t.rows, r.Domain, func(x *Remote, d ident.Domain) int {
		return cmp.Compare(x.Domain, d)
	})
	switch {
	case r.Gone && found:
		t.rows = slices.Delete(t.rows, i, i+1)
	case r.Gone:
	case found:
		t.rows[i] = &r
	default:
		t.rows = slices.Insert(t.rows, i, &r)
	}
}

// spill passes a request that finds no room here to a domain that has free slots or
// lower tiers that it can shed. It returns false if there is none.
func (s *Scheduler) spill(r *request, reason string) bool {
	if r.Spilled {
		return false
	}
	var best *Remote
	for _, x := range s.remotes.rows {
		if !x.canServe(r, s.now) {
			continue
		}
		if best == nil || x.Free > best.Free {
			best = x
		}
	}
	if best == nil {
		return false
	}
	best.Free--
	s.emit(Spill{ID: r.ID, Host: r.Host, Domain: best.Domain, Reason: reason})
	return true
}

// canServe reports whether a domain is expected to serve a request before its
// deadline.
func (x *Remote) canServe(r *request, now time.Duration) bool {
	if x.Free > 0 {
		return true
	}
	if x.LowestRank <= r.Rank || r.Rank >= len(x.Wait) {
		return false
	}
	return now+x.Wait[r.Rank]+r.cost < r.Deadline
}
