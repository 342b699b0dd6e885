package pool_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

const (
	// startPeriod is the length of the load after all parts have started.
	startPeriod = 6 * time.Second
	// startDomains is the number of engines, one in each failure domain.
	startDomains = 8
)

// runStart runs a load that begins at full rate, against engines with assumed speeds,
// and returns the fractions of requests that were on time and that were served.
func runStart(load, rate, assumedPrefill, assumedDecode float64) (onTime, served float64) {
	var domains []ident.Domain
	for i := range startDomains {
		domains = append(domains, ident.Domain(rune('a'+i)))
	}
	l := newLoadTestIn(domains...)
	l.configure(assumedPrefill, assumedDecode, domains...)
	l.rate = rate
	l.patience = 3 * time.Second
	l.lengths = func(int) int { return int(rate) }
	l.run(true, func(at time.Duration) float64 {
		if at > startPeriod {
			return 0
		}
		return load * startDomains * burstSlots / 2
	})
	return l.onTime(0, startPeriod)
}

// TestUndeclaredSpeedsCostLittle runs the first seconds after a start in which nothing
// is known about the engines. They are four times slower than, as fast as and four
// times faster than the initial assumption. Nearly as many requests are on time and
// served as with declared speeds.
func TestUndeclaredSpeedsCostLittle(t *testing.T) {
	g := NewWithT(t)
	const middle, little = 150.0, 0.05
	for _, factor := range []float64{0.25, 1, 4} {
		for _, load := range []float64{0.7, 1, 1.5, 2.5} {
			rate := factor * middle
			declaredTime, declaredServed := runStart(load, rate, 80_000, rate)
			onTime, served := runStart(load, rate, 0, 0)
			t.Logf("speed x%v, load %v: on time %.2f (declared %.2f), served %.2f (declared %.2f)",
				factor, load, onTime, declaredTime, served, declaredServed)
			g.Expect(onTime).To(BeNumerically(">=", declaredTime-little), "speed x%v, load %v", factor, load)
			g.Expect(served).To(BeNumerically(">=", declaredServed-little), "speed x%v, load %v", factor, load)
		}
	}
}
