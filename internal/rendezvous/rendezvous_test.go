package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

func hosts(n int) []ident.Host {
	list := make([]ident.Host, n)
	for i := range list {
		list[i] = ident.Host(fmt.Sprintf("host-%d", i))
	}
	return list
}

// referencePick takes the first host repeatedly.
func referencePick(key string, list []ident.Host, n int) []ident.Host {
	rest := slices.Clone(list)
	var picked []ident.Host
	for len(picked) < n && len(rest) > 0 {
		host := First(key, rest)
		picked = append(picked, host)
		rest = slices.DeleteFunc(rest, func(h ident.Host) bool { return h == host })
	}
	return picked
}

func TestPickIsStable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		list := hosts(rapid.IntRange(1, 40).Draw(rt, "hosts"))
		key := rapid.String().Draw(rt, "key")
		n := rapid.IntRange(1, 5).Draw(rt, "n")
		picked := Pick(key, list, n)
		g.Expect(picked).To(Equal(referencePick(key, list, n)))
		g.Expect(Pick(key, rapid.Permutation(list).Draw(rt, "order"), n)).To(Equal(picked))
		gone := rapid.SampledFrom(list).Draw(rt, "gone")
		rest := slices.DeleteFunc(slices.Clone(list), func(h ident.Host) bool { return h == gone })
		if !slices.Contains(picked, gone) {
			g.Expect(Pick(key, rest, n)).To(Equal(picked))
		}
	})
}

func TestFirstBalancesKeys(t *testing.T) {
	g := NewWithT(t)
	list := hosts(10)
	count := map[ident.Host]int{}
	for i := range 10_000 {
		count[First(fmt.Sprintf("key-%d", i), list)]++
	}
	for _, host := range list {
		g.Expect(count[host]).To(BeNumerically("~", 1000, 150), string(host))
	}
}

func TestPickWithoutHostsOrCount(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Pick("key", nil, 2)).To(BeEmpty())
	g.Expect(Pick("key", hosts(3), 0)).To(BeEmpty())
	g.Expect(First("key", nil)).To(BeEmpty())
}
