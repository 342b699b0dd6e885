package resource

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

func tierItem(name string, rank int) Item {
	return Item{Kind: KindTier, Name: name, Spec: Tier{Name: ident.Tier(name), Rank: rank, Deadline: time.Second, MaxQueued: 1}}
}

func withRead(item Item, revision uint64) Item {
	item.Read = &revision
	return item
}

func codeOf(err error) result.Code {
	var coded *result.Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return 0
}

func TestApplyAndLoad(t *testing.T) {
	g := NewWithT(t)
	store := NewStore(newMemoryTable())
	ctx := t.Context()
	manifest := parse(t, sample)
	applied, err := store.Apply(ctx, Change{ID: "one", Items: manifest.Items})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(applied).To(Equal(Applied{Revision: 1, ChangeID: "one"}))

	again, err := store.Apply(ctx, Change{ID: "two", Items: manifest.Items})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(Equal(Applied{Revision: 1, ChangeID: "two", Unchanged: true}))

	snapshot, err := store.Load(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(snapshot).To(Equal(NewSnapshot().With(1, manifest.Items)))
}

// TestApplyChecks covers the changes that must be refused without an effect.
func TestApplyChecks(t *testing.T) {
	one := uint64(1)
	zero := uint64(0)
	cases := map[string]struct {
		change Change
		code   result.Code
	}{
		"stale read":       {Change{Items: []Item{withRead(tierItem("low", 5), 1)}}, result.Conflict},
		"must be new":      {Change{Items: []Item{withRead(tierItem("low", 5), 0)}}, result.Conflict},
		"gone":             {Change{Items: []Item{withRead(tierItem("none", 5), 2)}}, result.Conflict},
		"stale base":       {Change{Base: &one, Items: []Item{tierItem("low", 5)}}, result.Conflict},
		"zero base":        {Change{Base: &zero, Items: []Item{tierItem("low", 5)}}, result.Conflict},
		"id of another":    {Change{ID: "first", Items: []Item{tierItem("low", 5)}}, result.Conflict},
		"name differs":     {Change{Items: []Item{{Kind: KindTier, Name: "low", Spec: Tier{Name: "high"}}}}, result.InvalidConfig},
		"no id":            {Change{ID: "-", Items: []Item{tierItem("low", 5)}}, result.InvalidConfig},
		"too many":         {Change{Items: make([]Item, MaxChangeItems+1)}, result.InvalidConfig},
		"invalid together": {Change{Items: []Item{tierItem("low", 0)}}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			table := newMemoryTable()
			store := NewStore(table)
			for i, id := range []string{"first", "second"} {
				_, err := store.Apply(t.Context(), Change{ID: id, Items: []Item{tierItem([]string{"high", "low"}[i], i)}})
				g.Expect(err).NotTo(HaveOccurred())
			}
			switch c.change.ID {
			case "":
				c.change.ID = "third"
			case "-":
				c.change.ID = ""
			}
			_, err := store.Apply(t.Context(), c.change)
			g.Expect(err).To(HaveOccurred())
			g.Expect(codeOf(err)).To(Equal(c.code))
			g.Expect(table.version).To(Equal(uint64(2)))
		})
	}
}

// TestRacingOperators lets operators race with changes of resources of their
// own and of one they share. Each accepted change must have a revision of its
// own and be in the final state, and one of the changes to the shared resource
// that all read at the same revision may win.
func TestRacingOperators(t *testing.T) {
	const operators = 6
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			table := newMemoryTable()
			delays := rand.New(rand.NewPCG(seed, 0))
			var mu sync.Mutex
			table.before = func(string) {
				mu.Lock()
				delay := time.Duration(delays.IntN(1000)) * time.Microsecond
				mu.Unlock()
				time.Sleep(delay)
			}
			store := NewStore(table)
			_, err := store.Apply(t.Context(), Change{ID: "shared", Items: []Item{tierItem("shared", 15)}})
			g.Expect(err).NotTo(HaveOccurred())
			own := make([]error, operators)
			shared := make([]error, operators)
			var group sync.WaitGroup
			for i := range operators {
				group.Go(func() {
					_, own[i] = store.Apply(t.Context(), Change{ID: fmt.Sprint("own", i), Items: []Item{tierItem(fmt.Sprint("t", i), i)}})
				})
				group.Go(func() {
					item := withRead(tierItem("shared", 15), 1)
					tier := item.Spec.(Tier)
					tier.MaxQueued = 100 + i
					item.Spec = tier
					_, shared[i] = store.Apply(t.Context(), Change{ID: fmt.Sprint("shared", i), Items: []Item{item}})
				})
			}
			group.Wait()
			winners, accepted := 0, uint64(1)
			for i := range operators {
				if own[i] == nil {
					accepted++
				} else {
					g.Expect(codeOf(own[i])).To(Equal(result.Conflict))
				}
				if shared[i] == nil {
					winners++
					accepted++
				} else {
					g.Expect(codeOf(shared[i])).To(Equal(result.Conflict))
				}
			}
			g.Expect(winners).To(Equal(1))
			snapshot, err := store.Load(t.Context())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(snapshot.Revision).To(Equal(accepted))
			for i := range operators {
				_, present := snapshot.Tiers[fmt.Sprint("t", i)]
				g.Expect(present).To(Equal(own[i] == nil))
			}
		})
	})
}

// TestLostAnswers makes commits fail in every way, applied or not. A change
// that is reported as made, or as not made, must be so exactly once.
func TestLostAnswers(t *testing.T) {
	faults := []error{nil, platform.ErrUnavailable, platform.ErrAmbiguous, platform.ErrLimited, errors.New("broken pipe")}
	rapid.Check(t, func(rt *rapid.T) {
		answers := rapid.SliceOfN(rapid.IntRange(0, 2*len(faults)-1), 1, 30).Draw(rt, "answers")
		downAfter := rapid.IntRange(0, 200).Draw(rt, "downAfter")
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			table := newMemoryTable()
			next := 0
			table.fault = func() (bool, error) {
				answer := answers[next%len(answers)]
				next++
				err := faults[answer/2]
				applied := answer%2 == 0 && !errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrLimited)
				return applied || err == nil, err
			}
			reads := 0
			table.readFault = func() error {
				reads++
				if reads > downAfter && reads < downAfter+50 {
					return platform.ErrUnavailable
				}
				return nil
			}
			store := NewStore(table)
			for i := range 4 {
				change := Change{ID: fmt.Sprint("c", i), Items: []Item{tierItem("only", i)}}
				before := table.rows[RevisionKey].Version
				applied, err := store.Apply(t.Context(), change)
				after := table.rows[RevisionKey].Version
				switch {
				case err == nil:
					g.Expect(after).To(Equal(before + 1))
					g.Expect(applied.Revision).To(Equal(after))
				case codeOf(err) == result.PlatformDown:
					g.Expect(after).To(Equal(before))
				default:
					g.Expect(codeOf(err)).To(Equal(result.StoreAmbiguous))
					g.Expect(after).To(BeNumerically("<=", before+1))
				}
			}
		})
	})
}

// TestLateCommit lets a commit whose answer was lost take effect only after
// the repetition was sent.
func TestLateCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := newMemoryTable()
		store := NewStore(table)
		_, err := store.Apply(t.Context(), Change{ID: "first", Items: []Item{tierItem("only", 0)}})
		g.Expect(err).NotTo(HaveOccurred())
		commits := 0
		late := &lateTable{memoryTable: table, commits: &commits}
		applied, err := NewStore(late).Apply(t.Context(), Change{ID: "second", Items: []Item{tierItem("only", 1)}})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(applied.Revision).To(Equal(uint64(2)))
		g.Expect(commits).To(Equal(2))
		g.Expect(table.rows[RevisionKey].Version).To(Equal(uint64(2)))
	})
}

// TestNeverSurelyLost holds a commit back for good: as long as it may still
// take effect, the change must not be said to be unmade.
func TestNeverSurelyLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		table := newMemoryTable()
		late := &lateTable{memoryTable: table, commits: new(int), down: true}
		_, err := NewStore(late).Apply(t.Context(), Change{ID: "first", Items: []Item{tierItem("only", 1)}})
		g.Expect(codeOf(err)).To(Equal(result.StoreAmbiguous))
	})
}

// lateTable holds the first commit back until just before the second.
type lateTable struct {
	*memoryTable
	held    *platform.Txn
	commits *int
	// down makes every commit after the first unavailable.
	down bool
}

func (t *lateTable) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	*t.commits++
	if t.held == nil {
		t.held = &txn
		return 0, platform.ErrAmbiguous
	}
	if t.down {
		return 0, platform.ErrUnavailable
	}
	_, _ = t.memoryTable.Commit(ctx, *t.held)
	return t.memoryTable.Commit(ctx, txn)
}

// TestLoadAcrossChange changes the resources right after they were listed.
func TestLoadAcrossChange(t *testing.T) {
	g := NewWithT(t)
	table := newMemoryTable()
	store := NewStore(table)
	_, err := store.Apply(t.Context(), Change{ID: "first", Items: []Item{tierItem("a", 0), tierItem("b", 1)}})
	g.Expect(err).NotTo(HaveOccurred())
	looks := 0
	other := NewStore(table)
	table.before = func(operation string) {
		if operation != "get "+RevisionKey {
			return
		}
		looks++
		if looks != 2 {
			return
		}
		_, err := other.Apply(t.Context(), Change{ID: "second", Items: []Item{tierItem("c", 2)}})
		g.Expect(err).NotTo(HaveOccurred())
	}
	snapshot, err := store.Load(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(snapshot.Revision).To(Equal(uint64(2)))
	g.Expect(snapshot.Tiers).To(HaveLen(3))
}

func TestChangesAfter(t *testing.T) {
	g := NewWithT(t)
	table := newMemoryTable()
	const kept = 10
	const changes = kept + 5
	store := &Store{table: table, kept: kept}
	for i := range changes {
		tier := tierItem("only", 0)
		spec := tier.Spec.(Tier)
		spec.MaxQueued = i + 1
		tier.Spec = spec
		_, err := store.Apply(t.Context(), Change{ID: fmt.Sprint(i), Items: []Item{tier}})
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(table.rows).To(HaveLen(kept + 2))
	last, err := store.ChangesAfter(t.Context(), changes-2)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(last).To(HaveLen(2))
	g.Expect(last[0].Revision).To(Equal(uint64(changes - 1)))
	none, err := store.ChangesAfter(t.Context(), changes)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(none).To(BeEmpty())
	for _, gone := range []uint64{0, 4, changes + 1} {
		_, err = store.ChangesAfter(t.Context(), gone)
		g.Expect(codeOf(err)).To(Equal(result.WatchGone), "revision %d", gone)
	}
	all, err := store.ChangesAfter(t.Context(), 5)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(all).To(HaveLen(kept))
}
