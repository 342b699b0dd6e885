package follow

import (
	"time"

	"github.com/trefoilchute/trefoilchute/platform"
)

// A store that comes back from an older copy may hold a configuration that was replaced before. Its era
// tells that it came back, but not what it has lost. So in each era the hosts write one row, the mark,
// which names the newest version that one of them knew: until a host has seen it, or knows by itself,
// what the store holds confirms no configuration. See docs/design/store-eras.md.

const (
	// NoticeTime is the time in which a host that reads the store notices a new era and, if it knows
	// more than is stored there, writes that: two failed calls with the longest wait between them.
	NoticeTime = 1500 * time.Millisecond
	// tellTime is the time in which another host's mark reaches a host that has settled the era.
	tellTime = NoticeTime + configurationWait
	// unsettledWait is how long a poll is held open while the era isn't settled, because another host
	// may write the mark, which ends no poll.
	unsettledWait = 300 * time.Millisecond
)

// knowledge is what a host knows of the configuration, whatever the store holds.
type knowledge struct {
	// version is that of the configuration in force; 0 if there is none.
	version uint64
	// age is the time since it was known to be the newest, or never.
	age time.Duration
}

// settler is what settled an era at this host.
type settler string

// What may settle an era.
const (
	byMark      settler = "mark"
	byOperator  settler = "operator"
	byKnowledge settler = "knowledge"
	byTime      settler = "time"
)

// eraGuard decides from when on what the store holds may confirm a configuration. It does no I/O and
// reads no clock, and is not safe for concurrent use. Stores that name no era need none.
type eraGuard struct {
	// keyLife is how long keys are accepted without a confirmation, and first is set if the hosts
	// start for the first time, as far as the store tells.
	keyLife time.Duration
	first   bool

	era platform.Era
	// since is the time of the first read in the era.
	since time.Duration
	// settled is set once the era has a mark or the operator has written in it. floor is the newest
	// version that any host is known to have known.
	settled bool
	floor   uint64
	// rewritten is set if the operator has written in the era since the first read.
	rewritten bool
	// watchUntil is the time until which the mark is read again, because it may be raised.
	watchUntil time.Duration
	// hasRow is set once the configuration's row was looked for in this era. row is its version in the
	// store, 0 if there is none, and version that of the configuration, as of the last read in any era.
	hasRow       bool
	row, version uint64
}

// enter begins another era, if the store is in one. It reports whether it is.
func (g *eraGuard) enter(era platform.Era, now time.Duration) bool {
	if era == g.era {
		return false
	}
	next := eraGuard{
		keyLife: g.keyLife, first: g.first, era: era, since: now, floor: g.floor, row: g.row, version: g.version,
	}
	if g.era.Named {
		next.watchUntil = now + g.keyLife
	}
	*g = next
	return true
}

// observe takes what a read tells of the configuration's row: its version in the store, or 0 if there
// is none, and the configuration's version, or 0 if it can't be decoded. A row that has changed since
// another read of the era was written in it, and so was one that has another version in the store than
// the same configuration had in the era before.
func (g *eraGuard) observe(row, version uint64) {
	if row > 0 && row != g.row && (g.hasRow || version > 0 && version == g.version) {
		g.rewritten, g.settled = true, true
	}
	g.hasRow, g.row, g.version = true, row, version
}

// needsMark reports whether the mark has to be read.
func (g *eraGuard) needsMark(now time.Duration) bool {
	return !g.settled || now < g.watchUntil
}

// learn takes the mark that was read in the era. One of an earlier era still names a version that a
// host has known.
func (g *eraGuard) learn(m platform.EraMark) {
	g.floor = max(g.floor, m.Configuration)
	if m.Era == g.era {
		g.settled = true
	} else {
		g.watchUntil = max(g.watchUntil, g.since+g.keyLife)
	}
}

// due returns the mark to write in place of m, if this host may write one. stored is the version of the
// configuration that the store holds.
func (g *eraGuard) due(now time.Duration, known knowledge, stored uint64, m platform.EraMark) (platform.EraMark, bool) {
	next := g.next(known, stored, m)
	if m.Era == g.era {
		return next, next.Configuration > max(m.Configuration, stored)
	}
	return next, g.rewritten || now-g.since >= g.wait(known)
}

// next returns the mark of the era that replaces m.
func (g *eraGuard) next(known knowledge, stored uint64, m platform.EraMark) platform.EraMark {
	return platform.EraMark{Era: g.era, Configuration: max(known.version, stored, g.floor), Row: m.Row}
}

// wait returns how long after the first read of an era without a mark this host leaves the mark to
// others, which may know more.
func (g *eraGuard) wait(known knowledge) time.Duration {
	switch {
	case known.age == never && g.first:
		return NoticeTime
	case known.age == never || known.age >= g.keyLife:
		// Nobody may be left that knows. An operator who writes again in the time for which keys
		// outlive their removal anyway keeps to it.
		return g.keyLife
	case known.age+tellTime >= g.keyLife:
		return NoticeTime
	}
	return 0
}

// marked takes note that this host has written the mark.
func (g *eraGuard) marked(m platform.EraMark) {
	g.settled, g.floor = true, max(g.floor, m.Configuration)
}

// confirms reports whether the store holds the newest version, if that is the one it holds.
func (g *eraGuard) confirms(stored uint64) bool {
	return !g.era.Named || g.settled && stored >= g.floor
}

// opensAt returns the time at which this host settles the era if nobody else does before; 0 if the era
// is settled.
func (g *eraGuard) opensAt(known knowledge) time.Duration {
	if !g.era.Named || g.settled {
		return 0
	}
	return g.since + g.wait(known)
}
