package keyledger

import (
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/rendezvous"
	"github.com/trefoilchute/trefoilchute/internal/system/membership"
)

// holder is one incarnation of a host that holds keys. A host that has
// restarted is another holder, since it has forgotten everything.
type holder struct {
	host        ident.Host
	incarnation uint64
}

// hostSet is the hosts that hold keys, or held them until they changed.
type hostSet struct {
	replacedAt   time.Duration
	names        []ident.Host
	incarnations map[ident.Host]uint64
}

// holders returns the holders of a key, first rank first.
func (h *hostSet) holders(key string) []holder {
	names := rendezvous.Pick(key, h.names, holdersPerKey)
	holders := make([]holder, len(names))
	for i, name := range names {
		holders[i] = holder{host: name, incarnation: h.incarnations[name]}
	}
	return holders
}

// hostSets is the current set of hosts and those that it replaced within the
// last SettleTime.
type hostSets struct {
	known   bool
	version uint64
	current *hostSet
	// past are earlier sets, oldest first, that were current within SettleTime.
	past []*hostSet
	// unsureUntil is when this host has heard what it may have missed by a
	// start, a pause or a cut.
	unsureUntil time.Duration
	// cut says that a failure domain can't be reached, cutSince since when.
	cut      bool
	cutSince time.Duration
}

// update follows the view and returns whether the hosts have changed.
func (h *hostSets) update(now time.Duration, view View) bool {
	wasCut := h.cut
	h.cut = view.Fresh() || view.Minority() || !allReachable(now, view)
	if !wasCut {
		h.cutSince = now
	}
	switch {
	case h.cut:
		h.unsureUntil = now + PartitionSettleTime
	case view.Paused(now) || !h.known:
		h.unsureUntil = max(h.unsureUntil, now+SettleTime)
	}
	h.past = slices.DeleteFunc(h.past, func(set *hostSet) bool {
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
		h.past = append(h.past, h.current)
	}
	h.current = next
	return true
}

// newHostSet returns the members that can hold keys: those that are neither
// leaving nor dead, of every failure domain.
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

// sameIncarnations reports whether two sets of the same names have the same
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

// domainCutOff reports whether this host's whole domain, and not this host
// alone, is on one side of a cut that the other side had noticed too at a time. Only
// hosts of its own domain could take this host for dead; when it has lost none
// of them, none has.
func (h *hostSets) domainCutOff(at time.Duration, view View) bool {
	if !h.cut || view.Fresh() || at-h.cutSince < PartitionDetectionTime {
		return false
	}
	return view.StableSince(h.cutSince - membership.ReachTimeout - membership.DeathTimeout)
}

// holders returns the current holders of a key.
func (h *hostSets) holders(key string) []holder {
	if h.current == nil {
		return nil
	}
	return h.current.holders(key)
}

// settled reports whether a host would know of every earlier run of a key: it
// has not missed anything lately, and it held the key all through SettleTime.
func (h *hostSets) settled(now time.Duration, key string, self ident.Host) bool {
	if h.current == nil || now < h.unsureUntil {
		return false
	}
	for _, set := range append(slices.Clone(h.past), h.current) {
		held := slices.ContainsFunc(set.holders(key), func(o holder) bool { return o.host == self })
		if !held {
			return false
		}
	}
	return true
}
