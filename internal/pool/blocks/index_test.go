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
