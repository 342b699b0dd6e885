package engine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/trefoilchute/trefoilchute/internal/prefix"
)

// arrival is a job, when it is submitted and when it is canceled.
type arrival struct {
	at     time.Duration
	job    Job
	cancel time.Duration
}

// drawArrivals draws jobs in order of time that share prefixes.
func drawArrivals(t *rapid.T) []arrival {
	var arrivals []arrival
	at := time.Duration(0)
	for i := range rapid.IntRange(1, 20).Draw(t, "jobs") {
		at += time.Duration(rapid.IntRange(0, 500).Draw(t, "gap")) * time.Millisecond
		blocks := rapid.IntRange(0, 40).Draw(t, "blocks")
		family := rapid.Uint64Range(1, 3).Draw(t, "family")
		job := Job{
			ID:           uint64(i + 1),
			PromptTokens: blocks*prefix.BlockTokens + rapid.IntRange(1, 63).Draw(t, "rest"),
			OutputTokens: rapid.IntRange(1, 30).Draw(t, "output"),
		}
		for b := range blocks {
			job.Prefix = append(job.Prefix, family*1000+uint64(b))
		}
		a := arrival{at: at, job: job, cancel: -1}
		if rapid.IntRange(0, 4).Draw(t, "cancel") == 0 {
			a.cancel = at + time.Duration(rapid.IntRange(0, 1000).Draw(t, "after"))*time.Millisecond
		}
		arrivals = append(arrivals, a)
	}
	return arrivals
}

var testSpeed = Speed{PrefillRate: 4000, DecodeRate: 50, BatchCost: 0.05, Slots: 4, CacheTokens: 64 * prefix.BlockTokens}

// seldom makes play step the model only where it can't be avoided.
const seldom = time.Duration(0)

// play runs the arrivals through a model that is stepped at the given interval,
// and returns the tokens.
func play(arrivals []arrival, interval time.Duration) (*Model, []Token) {
	model := NewModel(testSpeed)
	var tokens []Token
	step := func(to time.Duration) {
		for at := model.now; interval > 0 && at < to; at += interval {
			tokens = append(tokens, model.Step(min(at+interval, to))...)
		}
	}
	var events []arrival
	for _, a := range arrivals {
		events = append(events, arrival{at: a.at, job: a.job})
		if a.cancel >= 0 {
			events = append(events, arrival{at: a.cancel, job: Job{ID: a.job.ID}})
		}
	}
	slices.SortStableFunc(events, func(a, b arrival) int { return int(a.at - b.at) })
	for _, event := range events {
		step(event.at)
		if event.job.OutputTokens == 0 {
			tokens = append(tokens, model.Step(event.at)...)
			model.Cancel(event.job.ID)
			continue
		}
		model.Submit(event.at, event.job)
	}
	for end, busy := model.Next(); busy; end, busy = model.Next() {
		tokens = append(tokens, model.Step(end)...)
	}
	return model, tokens
}

func TestModelAnswersEveryJobWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		arrivals := drawArrivals(t)
		_, tokens := play(arrivals, seldom)
		next := map[uint64]int{}
		last := map[uint64]bool{}
		for _, token := range tokens {
			a := arrivals[token.Job-1]
			g.Expect(last[token.Job]).To(BeFalse(), "no token follows the last one")
			g.Expect(token.Index).To(Equal(next[token.Job]))
			g.Expect(token.At).To(BeNumerically(">", a.at))
			g.Expect(token.Cached).To(BeNumerically("<", a.job.PromptTokens))
			if a.cancel >= 0 {
				g.Expect(token.At).To(BeNumerically("<=", a.cancel))
			}
			next[token.Job]++
			last[token.Job] = token.Last
		}
		for _, a := range arrivals {
			if a.cancel < 0 {
				g.Expect(next[a.job.ID]).To(Equal(a.job.OutputTokens))
				g.Expect(last[a.job.ID]).To(BeTrue())
			}
		}
	})
}

func TestModelDoesNotDependOnHowOftenItIsStepped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		arrivals := drawArrivals(t)
		interval := time.Duration(rapid.IntRange(1, 300).Draw(t, "interval")) * time.Millisecond
		_, want := play(arrivals, seldom)
		_, got := play(arrivals, interval)
		g.Expect(got).To(Equal(want))
	})
}

func TestCacheEventsTellWhatIsCached(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		model, _ := play(drawArrivals(t), seldom)
		told := map[uint64]bool{}
		for _, change := range model.cacheChanges() {
			for _, hash := range change.stored {
				g.Expect(told).NotTo(HaveKey(hash))
				told[hash] = true
			}
			for _, hash := range change.evicted {
				g.Expect(told).To(HaveKey(hash))
				delete(told, hash)
			}
		}
		g.Expect(len(told)).To(BeNumerically("<=", testSpeed.CacheTokens/prefix.BlockTokens))
		g.Expect(model.cache.blocks).To(HaveLen(len(told)))
		for hash := range told {
			g.Expect(model.cache.blocks).To(HaveKey(hash))
		}
	})
}

// first returns when a job's first token came after its submission.
func first(tokens []Token, id uint64) time.Duration {
	i := slices.IndexFunc(tokens, func(token Token) bool { return token.Job == id })
	return tokens[i].At
}

func TestModelTakesTheTimeOfItsSpeed(t *testing.T) {
	g := NewWithT(t)
	_, tokens := play([]arrival{{job: Job{ID: 1, PromptTokens: 4000, OutputTokens: 51}, cancel: -1}}, seldom)
	g.Expect(first(tokens, 1)).To(BeNumerically("~", time.Second, time.Microsecond))
	g.Expect(tokens[50].At).To(BeNumerically("~", 2*time.Second, time.Microsecond))
}

func TestModelSharesDecodingAndPrefersTheCache(t *testing.T) {
	g := NewWithT(t)
	var hashes []uint64
	for i := range 50 {
		hashes = append(hashes, uint64(i+1))
	}
	long := Job{ID: 1, Prefix: hashes, PromptTokens: 50 * prefix.BlockTokens, OutputTokens: 1}
	again := long
	again.ID = 2
	_, tokens := play([]arrival{
		{job: long, cancel: -1},
		{at: 10 * time.Second, job: again, cancel: -1},
	}, seldom)
	g.Expect(first(tokens, 1)).To(BeNumerically("~", 800*time.Millisecond, time.Microsecond))
	g.Expect(first(tokens, 2) - 10*time.Second).To(BeNumerically("~", 250*time.Microsecond, time.Microsecond))
	g.Expect(tokens[1].Cached).To(Equal(50*prefix.BlockTokens - 1))

	var arrivals []arrival
	for i := range testSpeed.Slots {
		job := Job{ID: uint64(i + 1), PromptTokens: 1, OutputTokens: 101}
		arrivals = append(arrivals, arrival{job: job, cancel: -1})
	}
	_, tokens = play(arrivals, seldom)
	took := tokens[len(tokens)-1].At - tokens[0].At
	g.Expect(took.Seconds()).To(BeNumerically("~", 100*(1+3*0.05)/50, 0.1))
}

func TestModelQueuesOverItsSlotsAndSlows(t *testing.T) {
	g := NewWithT(t)
	model := NewModel(testSpeed)
	for i := range testSpeed.Slots + 3 {
		model.Submit(0, Job{ID: uint64(i + 1), PromptTokens: 1, OutputTokens: 100})
	}
	model.Step(time.Second)
	running, waiting := model.Load()
	g.Expect([]int{running, waiting}).To(Equal([]int{testSpeed.Slots, 3}))

	pace := func() time.Duration {
		before, _ := model.Next()
		model.Step(before)
		after, _ := model.Next()
		return after - before
	}
	usual := pace()
	model.SetSlow(4)
	g.Expect(pace()).To(BeNumerically("~", 4*usual, time.Microsecond))
}

func TestCacheEvictsTheLeastRecentlyUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		const capacity = 4
		real := newCache(capacity * prefix.BlockTokens)
		// naive holds the blocks in order of use, the last one used in front.
		var naive []uint64
		use := func(hashes []uint64) {
			for i := len(hashes) - 1; i >= 0; i-- {
				naive = slices.DeleteFunc(naive, func(h uint64) bool { return h == hashes[i] })
				naive = slices.Insert(naive, 0, hashes[i])
			}
		}
		for range rapid.IntRange(1, 20).Draw(t, "calls") {
			var hashes []uint64
			family := rapid.Uint64Range(1, 3).Draw(t, "family")
			for i := range rapid.IntRange(0, 6).Draw(t, "blocks") {
				hashes = append(hashes, family*100+uint64(i))
			}
			found := real.lookup(hashes)
			want := 0
			for want < len(hashes) && slices.Contains(naive, hashes[want]) {
				want++
			}
			g.Expect(found).To(Equal(want), fmt.Sprint(naive))
			use(hashes[:found])
			real.insert(hashes)
			use(hashes[:min(len(hashes), capacity)])
			naive = naive[:min(len(naive), capacity)]
		}
		g.Expect(real.blocks).To(HaveLen(len(naive)))
		for _, hash := range naive {
			g.Expect(real.blocks).To(HaveKey(hash))
		}
	})
}
