package blocks

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against lengths that are kept in fewer bits than they are summed with: the cache's use then
// stayed above its capacity without a block left to evict, which panicked (review/6).
func TestBlocksLongerThanTheCacheAreEvicted(t *testing.T) {
	for _, length := range []int{1001, math.MaxInt32, math.MaxInt32 + 1, 3_000_000_000, math.MaxUint32 + 5} {
		g := NewWithT(t)
		x := NewIndex()
		x.Resize(0, 1000)
		x.Store(0, []uint64{1, 2}, []int{60, length})
		g.Expect(x.MatchOne(0, []uint64{1, 2})).To(BeNumerically("<", 2))
		x.Store(0, []uint64{3}, []int{500})
		g.Expect(x.MatchOne(0, []uint64{3})).To(Equal(1))
		x.Clear(0)
		g.Expect(x.caches[0].used).To(BeZero())
	}
}

// Guards against a table that is bounded by tokens alone, which prompts of very many short parts fill
// (review/10). A prompt that is in use stays.
func TestShortBlocksAreBoundedInNumber(t *testing.T) {
	const endpoints, capacity, prompts, parts = 9, 575_497, 1000, 1800
	for _, length := range []int{0, 1, 60} {
		g := NewWithT(t)
		x := NewIndex()
		for e := range int32(endpoints) {
			x.Resize(e, capacity)
		}
		sound := []uint64{1, 2}
		lengths := make([]int, parts)
		for i := range lengths {
			lengths[i] = length
		}
		next := uint64(1000)
		for n := range prompts {
			prompt := make([]uint64, parts)
			for i := range prompt {
				next++
				prompt[i] = next
			}
			e := int32(n % endpoints)
			x.Store(e, prompt, lengths)
			x.Store(e, sound, []int{60, 6610})
		}
		total := 0
		for e, c := range x.caches {
			g.Expect(c.used).To(BeNumerically("<=", capacity))
			g.Expect(x.MatchOne(e, sound)).To(Equal(2), "endpoint %d", e)
			total += c.size()
		}
		g.Expect(x.total).To(Equal(total))
		g.Expect(total).To(And(BeNumerically(">", minBlocks/2), BeNumerically("<=", minBlocks)))
		g.Expect(len(x.holders)).To(BeNumerically("<=", total))
		for e := range int32(endpoints) {
			x.Remove(e)
		}
		g.Expect(x.total + len(x.holders)).To(BeZero())
	}
}
