package platform

import (
	"sort"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/platform"
)

// hostChange is one registration and the time it was made.
type hostChange struct {
	entry platform.HostEntry
	at    time.Time
}

// hostList is a host list that shows changes late and lets entries age out. It
// is not safe for concurrent use.
type hostList struct {
	lag    time.Duration
	maxAge time.Duration
	// changes holds the registrations of each host in order of time. The last
	// one that is old enough is the visible one.
	changes map[string][]hostChange
}

// newHostList returns an empty list.
func newHostList(lag, maxAge time.Duration) *hostList {
	return &hostList{lag: lag, maxAge: maxAge, changes: map[string][]hostChange{}}
}

// register adds or refreshes an entry.
func (l *hostList) register(entry platform.HostEntry, now time.Time) {
	kept := l.changes[entry.Host]
	// Of the changes that can be seen already only the last one matters.
	for len(kept) > 1 && l.visible(kept[1], now) {
		kept = kept[1:]
	}
	l.changes[entry.Host] = append(kept, hostChange{entry: entry, at: now})
}

// list returns the visible entries in order of their hosts.
func (l *hostList) list(now time.Time) []platform.HostEntry {
	entries := []platform.HostEntry{}
	for _, changes := range l.changes {
		if entry, ok := l.latest(changes, now); ok {
			entries = append(entries, entry)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Host < entries[j].Host })
	return entries
}

// latest returns the last visible change unless it has aged out.
func (l *hostList) latest(changes []hostChange, now time.Time) (platform.HostEntry, bool) {
	for i := len(changes) - 1; i >= 0; i-- {
		if !l.visible(changes[i], now) {
			continue
		}
		aged := l.maxAge > 0 && now.Sub(changes[i].at) > l.lag+l.maxAge
		return changes[i].entry, !aged
	}
	return platform.HostEntry{}, false
}

// visible says whether a change is older than the lag.
func (l *hostList) visible(change hostChange, now time.Time) bool {
	return now.Sub(change.at) >= l.lag
}
