package share

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

// play sends one request of 100 ms slot time from each of ten teams a tenth of a second for some
// time, and from the first team as many more as given, to a pool of ten slots. It returns how
// many of the first team's and of the others' requests are not within their share.
func play(t *Table, from, to time.Duration, more int) (first, others int) {
	for now := from; now < to; now += 100 * time.Millisecond {
		for team := range 10 {
			n := 1
			if team == 0 {
				n += more
			}
			for range n {
				if t.Arrive(now, ident.Team('a'+rune(team)), 1, 70*time.Millisecond, 10) == Within {
					continue
				}
				if team == 0 {
					first++
				} else {
					others++
				}
			}
		}
	}
	return first, others
}

// TestSurgeIsBeyondTheShare guards against a surge that passes for a team's usual rate, also right
// after the scheduler has changed, and against others that lose their share to it.
func TestSurgeIsBeyondTheShare(t *testing.T) {
	g := NewWithT(t)
	var old, fresh Table
	first, others := play(&old, 0, 40*time.Second, 0)
	g.Expect([]int{first, others}).To(Equal([]int{0, 0}))
	for name, x := range map[string]*Table{"known": &old, "another scheduler": &fresh} {
		first, others = play(x, 40*time.Second, 50*time.Second, 11)
		g.Expect(first).To(BeNumerically(">", 800), name)
		g.Expect(others).To(BeZero(), name)
	}
	_, _ = play(&old, 50*time.Second, 60*time.Second, 0)
	first, others = play(&old, 60*time.Second, 90*time.Second, 0)
	g.Expect([]int{first, others}).To(Equal([]int{0, 0}), "after the surge")
	g.Expect(old.beyondWeight).To(BeZero())
}

// TestOverloadOfAllIsNobodysSurge guards against slots that are kept for nobody when most teams
// send more.
func TestOverloadOfAllIsNobodysSurge(t *testing.T) {
	g := NewWithT(t)
	var x Table
	_, _ = play(&x, 0, 40*time.Second, 0)
	last := 0
	for now := 40 * time.Second; now < 50*time.Second; now += 100 * time.Millisecond {
		for team := range 10 {
			for range 12 {
				if x.Arrive(now, ident.Team('a'+rune(team)), 1, 70*time.Millisecond, 10) != Within && now > 45*time.Second {
					last++
				}
			}
		}
	}
	g.Expect(last).To(BeZero())
	x.advance(10 * time.Minute)
	g.Expect(x.teams).To(BeEmpty(), "teams that send nothing are forgotten")
}
