package pool_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

const (
	// startOver is the end of the first seconds after a start of everything.
	startOver = 6 * time.Second
	// startDomains is the number of engines, one in each failure domain.
	startDomains = 8
)

// firstSeconds plays a load that is there from the first moment on, against engines that
// are assumed to have some speed, and returns how many were on time and served.
func firstSeconds(load, rate, assumedPrefill, assumedDecode float64) (onTime, served float64) {
	var domains []ident.Domain
	for i := range startDomains {
		domains = append(domains, ident.Domain(rune('a'+i)))
	}
	b := newBurstIn(domains...)
	b.configure(assumedPrefill, assumedDecode, domains...)
	b.rate = rate
	b.patience = 3 * time.Second
	b.lengths = func(int) int { return int(rate) }
	b.play(true, func(at time.Duration) float64 {
		if at > startOver {
			return 0
		}
		return load * startDomains * burstSlots / 2
	})
	return b.onTime(0, startOver)
}

// TestSpeedsThatNobodyToldCostLittle plays the first seconds after a start of everything.
// Nothing is known of the engines, which are four times slower than, as fast as and four
// times faster than what is taken first: nearly as many are on time and served as where
// their speed is told.
func TestSpeedsThatNobodyToldCostLittle(t *testing.T) {
	g := NewWithT(t)
	const middle, little = 150.0, 0.05
	for _, factor := range []float64{0.25, 1, 4} {
		for _, load := range []float64{0.7, 1, 1.5, 2.5} {
			rate := factor * middle
			toldTime, toldServed := firstSeconds(load, rate, 80_000, rate)
			onTime, served := firstSeconds(load, rate, 0, 0)
			t.Logf("speed x%v, load %v: on time %.2f (told %.2f), served %.2f (told %.2f)",
				factor, load, onTime, toldTime, served, toldServed)
			g.Expect(onTime).To(BeNumerically(">=", toldTime-little), "speed x%v, load %v", factor, load)
			g.Expect(served).To(BeNumerically(">=", toldServed-little), "speed x%v, load %v", factor, load)
		}
	}
}
