package keyledger

import (
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/rendezvous"
	"github.com/trefoilchute/trefoilchute/internal/system/membership"
)

// holder is one incarnation of a host that holds keys. A restarted host is a
// different holder, because its memory is gone.
type holder struct {
	host        ident.Host
	incarnation uint64
}

// hostSet is the set of hosts that hold keys, or held them until replacedAt.
type hostSet struct {
	replacedAt   time.Duration
	names        []ident.Host
	incarnations map[ident.Host]uint64
}

// holders returns the holders of a key, highest rendezvous weight first.
func (h *hostSet) holders(key string) []holder {
	names := rendezvous.Pick(key, h.names, holdersPerKey)
	holders := make([]holder, len(names))
	for i, name := range names {
		holders[i] = holder{host: name, incarnation: h.incarnations[name]}
	}
	return holders
}

// hostSets is the current set of hosts and the sets replaced within the last
// SettleTime.
type hostSets struct {
	known   bool
	version uint64
	current *hostSet
	// previous holds the replaced sets, oldest first.
	previous []*hostSet
	// uncertainUntil is when this host has received what it may have missed
	// because of a start, a pause or a partition.
	uncertainUntil time.Duration
	// partitioned is set while a failure domain can't be reached, or this host
	// may be cut off itself; partitionedSince is the start.
	partitioned      bool
	partitionedSince time.Duration
}

// update takes over the view and reports whether the set of hosts has changed.
func (h *hostSets) update(now time.Duration, view View) bool {
	wasPartitioned := h.partitioned
	h.partitioned = view.Fresh() || view.Minority() || !allReachable(now, view)
	if !wasPartitioned {
		h.partitionedSince = now
	}
	switch {
	case h.partitioned:
		h.uncertainUntil = now + PartitionSettleTime
	case view.Paused(now) || !h.known:
		h.uncertainUntil = max(h.uncertainUntil, now+SettleTime)
	}
	h.previous = slices.DeleteFunc(h.previous, func(set *hostSet) bool {
		return now-set.replacedAt >= SettleTime
	})
	if h.known && h.version == view.Version() {
		return false
	}
	h.known = true
	h.version = view.Version()
	next := newHostSet(view.Members())
	if h.current != nil {
		if slices.Equal(h.current.names, next.names) && sameIncarnations(h.current, next) {
			return false
		}
		h.current.replacedAt = now
		h.previous = append(h.previous, h.current)
	}
	h.current = next
	return true
}

// newHostSet returns the members that can hold keys: those of any failure domain
// that are neither leaving nor dead.
func newHostSet(members []membership.Member) *hostSet {
	set := &hostSet{incarnations: map[ident.Host]uint64{}}
	for i := range members {
		if members[i].State <= membership.Suspect {
			set.names = append(set.names, members[i].Host)
			set.incarnations[members[i].Host] = members[i].Incarnation
		}
	}
	return set
}

// sameIncarnations reports whether two sets with the same names have the same
// incarnations.
func sameIncarnations(a, b *hostSet) bool {
	for name, incarnation := range a.incarnations {
		if b.incarnations[name] != incarnation {
			return false
		}
	}
	return true
}

// allReachable reports whether every failure domain can be reached.
func allReachable(now time.Duration, view View) bool {
	for _, domain := range view.Domains() {
		if !view.Reachable(now, domain) {
			return false
		}
	}
	return true
}

// domainPartitioned reports whether this host's whole failure domain, not just
// this host, is on one side of a partition that the other side had detected too
// by the given time. Only hosts of its own domain could consider this host dead.
// If it has lost contact with none of them, none of them has.
func (h *hostSets) domainPartitioned(at time.Duration, view View) bool {
	if !h.partitioned || view.Fresh() || at-h.partitionedSince < PartitionDetectionTime {
		return false
	}
	return view.StableSince(h.partitionedSince - membership.ReachTimeout - membership.DeathTimeout)
}

// holders returns the current holders of a key.
func (h *hostSets) holders(key string) []holder {
	if h.current == nil {
		return nil
	}
	return h.current.holders(key)
}

// settled reports whether host self would know of every earlier run of a key: it
// has missed no messages recently, and it has been a holder of the key in every
// host set of the last SettleTime.
func (h *hostSets) settled(now time.Duration, key string, self ident.Host) bool {
	if h.current == nil || now < h.uncertainUntil {
		return false
	}
	for _, set := range append(slices.Clone(h.previous), h.current) {
		held := slices.ContainsFunc(set.holders(key), func(o holder) bool { return o.host == self })
		if !held {
			return false
		}
	}
	return true
}
