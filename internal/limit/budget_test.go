package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBudgetHoldsInEveryWindow checks, for drawn series of tries, that no window
// has more further tries than the ratio of its first tries and the number beside.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	const ratio, extra, window = 0.2, 5, 10 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		b := NewBudget(ratio, extra, window)
		var firsts, others []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(rt, "tries") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(rt, "pause")) * time.Millisecond
			if rapid.Bool().Draw(rt, "first") {
				b.CountFirst(now)
				firsts = append(firsts, now)
				continue
			}
			if !b.Take(now) {
				continue
			}
			others = append(others, now)
			if n, most := within(others, now, window), ratio*float64(within(firsts, now, window))+extra; float64(n) > most {
				rt.Fatalf("%d further tries in the window that ends at %v, at most %.1f", n, now, most)
			}
		}
	})
}

// within counts the times in the window that ends at now.
func within(list []time.Duration, now, window time.Duration) int {
	n := 0
	for _, at := range list {
		if now-at < window {
			n++
		}
	}
	return n
}
