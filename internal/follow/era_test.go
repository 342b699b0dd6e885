package follow

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/platform"
)

// guardLife is the lifetime of keys in the tests of the guard.
const guardLife = 5 * time.Second

// enteredGuard returns a guard that is in era 2 since the time 10 s, after era 1 if the host ran then.
func enteredGuard(ran bool) *eraGuard {
	g := &eraGuard{keyLife: guardLife}
	if ran {
		g.enter(platform.NewEra(1), time.Second)
		g.learn(platform.EraMark{Era: platform.NewEra(1), Configuration: 3})
	}
	g.enter(platform.NewEra(2), 10*time.Second)
	return g
}

// TestEraIsSettledByWhoKnowsMost checks after which time a host writes the mark of an era, by what it
// knows itself.
func TestEraIsSettledByWhoKnowsMost(t *testing.T) {
	for name, c := range map[string]struct {
		known knowledge
		first bool
		after time.Duration
	}{
		"a host that knew the newest lately":               {knowledge{version: 6, age: guardLife - tellTime - 1}, false, 0},
		"a host that has heard nothing for long":           {knowledge{version: 6, age: guardLife - tellTime}, false, NoticeTime},
		"a host that has heard nothing for its keys' life": {knowledge{version: 6, age: guardLife}, false, guardLife},
		"a host that has started":                          {knowledge{version: 6, age: never}, false, guardLife},
		"a host that has started for the first time":       {knowledge{version: 6, age: never}, true, NoticeTime},
		"a host that has started and was told lately":      {knowledge{version: 6, age: time.Second}, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			guard := enteredGuard(false)
			guard.first = c.first
			old := platform.EraMark{Era: platform.NewEra(1), Configuration: 3, Row: 40}
			guard.learn(old)
			g.Expect(guard.opensAt(c.known)).To(Equal(10*time.Second + c.after))
			if c.after > 0 {
				_, due := guard.due(10*time.Second+c.after-1, c.known, 3, old)
				g.Expect(due).To(BeFalse())
			}
			mark, due := guard.due(10*time.Second+c.after, c.known, 3, old)
			g.Expect(due).To(BeTrue())
			g.Expect(mark).To(Equal(platform.EraMark{Era: platform.NewEra(2), Configuration: 6, Row: 40}))
			g.Expect(guard.confirms(6)).To(BeFalse(), "not written yet")
			guard.marked(mark)
			g.Expect(guard.confirms(6)).To(BeTrue())
			g.Expect(guard.confirms(3)).To(BeFalse(), "older than what this host knew")
		})
	}
}

// TestMarkBoundsWhatTheStoreConfirms checks that a version older than the mark is never confirmed, and
// that the mark is raised by a host that knows more than the mark and the store.
func TestMarkBoundsWhatTheStoreConfirms(t *testing.T) {
	g := NewWithT(t)
	guard := enteredGuard(true)
	g.Expect(guard.confirms(3)).To(BeFalse())
	mark := platform.EraMark{Era: platform.NewEra(2), Configuration: 5, Row: 9}
	guard.learn(mark)
	g.Expect(guard.confirms(4)).To(BeFalse())
	g.Expect(guard.confirms(5)).To(BeTrue())
	_, due := guard.due(11*time.Second, knowledge{version: 5, age: 0}, 5, mark)
	g.Expect(due).To(BeFalse())
	_, due = guard.due(11*time.Second, knowledge{version: 7, age: 0}, 7, mark)
	g.Expect(due).To(BeFalse(), "the store holds it")
	raised, due := guard.due(11*time.Second, knowledge{version: 7, age: time.Minute}, 5, mark)
	g.Expect(due).To(BeTrue())
	g.Expect(raised).To(Equal(platform.EraMark{Era: platform.NewEra(2), Configuration: 7, Row: 9}))
	g.Expect(guard.needsMark(10*time.Second+guardLife-1)).To(BeTrue(), "another host may raise it")
	g.Expect(guard.needsMark(10*time.Second + guardLife)).To(BeFalse())
}

// TestEarlierMarkStillBinds checks a second return from a copy: the mark of the era between names a
// version that a host has known.
func TestEarlierMarkStillBinds(t *testing.T) {
	g := NewWithT(t)
	guard := enteredGuard(false)
	guard.learn(platform.EraMark{Era: platform.NewEra(2), Configuration: 6})
	guard.enter(platform.NewEra(3), 11*time.Second)
	g.Expect(guard.confirms(6)).To(BeFalse(), "a newer one may have been lost since")
	started := &eraGuard{keyLife: guardLife}
	started.enter(platform.NewEra(3), 11*time.Second)
	old := platform.EraMark{Era: platform.NewEra(2), Configuration: 6, Row: 1}
	started.learn(old)
	mark, due := started.due(11*time.Second+guardLife, knowledge{version: 4, age: never}, 4, old)
	g.Expect(due).To(BeTrue())
	g.Expect(mark.Configuration).To(BeEquivalentTo(6))
	started.marked(mark)
	g.Expect(started.confirms(4)).To(BeFalse())
}

// TestOperatorWhoWritesAgainSettlesAnEra checks that a change of the row counts, and its first sight
// doesn't.
func TestOperatorWhoWritesAgainSettlesAnEra(t *testing.T) {
	g := NewWithT(t)
	guard := enteredGuard(false)
	guard.observe(30, 6)
	guard.observe(30, 6)
	g.Expect(guard.confirms(6)).To(BeFalse())
	guard.observe(0, 0)
	g.Expect(guard.confirms(6)).To(BeFalse(), "deleted")
	guard.observe(33, 6)
	g.Expect(guard.confirms(6)).To(BeTrue())
	_, due := guard.due(10*time.Second, knowledge{version: 6, age: never}, 6, platform.EraMark{})
	g.Expect(due).To(BeTrue(), "the other hosts are told")
}

// TestConfigurationWrittenAgainIsTold checks a host that has read the row in the era before: the copy would
// have it at the version that it had.
func TestConfigurationWrittenAgainIsTold(t *testing.T) {
	g := NewWithT(t)
	for row, again := range map[uint64]bool{40: false, 31: true, 44: true} {
		guard := enteredGuard(true)
		guard.observe(40, 6)
		guard.enter(platform.NewEra(3), 20*time.Second)
		guard.observe(row, 6)
		g.Expect(guard.confirms(6)).To(Equal(again), "row %d", row)
	}
	guard := enteredGuard(true)
	guard.observe(40, 6)
	guard.enter(platform.NewEra(3), 20*time.Second)
	guard.observe(31, 5)
	g.Expect(guard.confirms(6)).To(BeFalse(), "an older configuration")
}

// TestStoreWithoutErasNeedsNoMark checks that nothing is awaited from a store that names no era.
func TestStoreWithoutErasNeedsNoMark(t *testing.T) {
	g := NewWithT(t)
	guard := &eraGuard{keyLife: guardLife}
	g.Expect(guard.enter(platform.Era{}, time.Second)).To(BeFalse())
	g.Expect(guard.confirms(1)).To(BeTrue())
	g.Expect(guard.opensAt(knowledge{age: never})).To(BeZero())
}
