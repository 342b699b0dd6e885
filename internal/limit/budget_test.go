package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBudgetHoldsInEveryWindow checks, for random series of tries, that no window
// has more retries than the ratio of its first tries plus the extra number.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	const ratio, extra, window = 0.2, 5, 10 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		b := NewBudget(ratio, extra, window)
		var firsts, retries []time.Duration
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
			retries = append(retries, now)
			if n, most := within(retries, now, window), ratio*float64(within(firsts, now, window))+extra; float64(n) > most {
				rt.Fatalf("%d retries in the window that ends at %v, want at most %.1f", n, now, most)
			}
		}
	})
}

// within returns the number of times in the window that ends at now.
func within(list []time.Duration, now, window time.Duration) int {
	n := 0
	for _, at := range list {
		if now-at < window {
			n++
		}
	}
	return n
}
