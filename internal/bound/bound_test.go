package bound

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestParseCount(t *testing.T) {
	g := NewWithT(t)
	for text, want := range map[string]int{
		"0": 0, "7": 7, "+7": 7, "100": 100, "101": 100, "3000000000": 100, "9223372036854775808": 100,
		"99999999999999999999999999": 100,
	} {
		n, ok := ParseCount(text, 100)
		g.Expect(ok).To(BeTrue(), text)
		g.Expect(n).To(Equal(want), text)
	}
	for _, text := range []string{"", "-1", "-99999999999999999999999999", "1.5", "1e3", "0x10", "seven", " 7"} {
		_, ok := ParseCount(text, 100)
		g.Expect(ok).To(BeFalse(), text)
	}
}

func TestCount(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Count(uint64(math.MaxUint64), 5)).To(Equal(5))
	g.Expect(Count(int64(math.MinInt64), 5)).To(Equal(0))
	g.Expect(Count(3, 5)).To(Equal(3))
}

func TestAmountAndTimes(t *testing.T) {
	g := NewWithT(t)
	for x, want := range map[float64]float64{-1: 0, 0: 0, 2.5: 2.5, math.Inf(1): MaxAmount, math.Inf(-1): 0, 1e300: MaxAmount} {
		g.Expect(Amount(x)).To(Equal(want))
	}
	g.Expect(Amount(math.NaN())).To(BeZero())
	for ms, want := range map[float64]time.Duration{-1: 0, 1.5: 1500 * time.Microsecond, 1e300: time.Hour, math.Inf(1): time.Hour, math.Inf(-1): 0} {
		g.Expect(Millis(ms, time.Hour)).To(Equal(want))
	}
	g.Expect(Millis(math.NaN(), time.Hour)).To(BeZero())
	g.Expect(Micros(math.MaxInt64)).To(Equal(MaxTime))
	g.Expect(Micros(math.MinInt64)).To(Equal(-MaxTime))
}

func TestPrompt(t *testing.T) {
	g := NewWithT(t)
	parts := []int{100, MaxTokens - 150, 100, 7, -3}
	Prompt(parts)
	g.Expect(parts).To(Equal([]int{100, MaxTokens - 150, 50, 0, 0}))
}
