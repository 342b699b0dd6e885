package speed

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestRatesExcludeFactor guards against a long-run rate and a pace that absorb the momentary
// factor, which would count it twice.
func TestRatesExcludeFactor(t *testing.T) {
	g := NewWithT(t)
	e := NewEndpoint(1000, 100)
	for i := range 200 {
		now := time.Duration(i+1) * time.Second
		factor := []float64{1, 2.5}[i%2]
		e.ObserveFactor(now-time.Second, factor)
		e.ObserveFactor(now-100*time.Millisecond, factor)
		e.ObserveDecode(now, 40, time.Duration(factor*float64(400*time.Millisecond)), 0)
		e.ObservePrefill(now, 400, time.Duration(factor*float64(400*time.Millisecond)))
	}
	g.Expect(e.DecodeRate()).To(BeNumerically("~", 100, 5))
	g.Expect(e.PrefillRate()).To(BeNumerically("~", 1000, 50))
	g.Expect(e.Pace(200 * time.Second)).To(BeNumerically("~", 1, 0.1))
}

// TestFactorBecomesStale guards against the use of old figures, and against an estimate in
// which a short spell lasts for the whole of long work.
func TestFactorBecomesStale(t *testing.T) {
	e, plain := NewEndpoint(1000, 100), NewEndpoint(1000, 100)
	e.ObserveFactor(10*time.Second, 2.5)
	for _, c := range []struct {
		name       string
		now, delay time.Duration
		tokens     float64
		want       time.Duration
	}{
		{"short work is as slow as the endpoint is now", 10 * time.Second, 0, 10, 250 * time.Millisecond},
		{"long work is slow for half a second", 10 * time.Second, 0, 120, 1500 * time.Millisecond},
		{"later work isn't slow", 10 * time.Second, 500 * time.Millisecond, 10, 100 * time.Millisecond},
		{"an aged figure lasts for less", 10*time.Second + 500*time.Millisecond, 0, 110, 1250 * time.Millisecond},
		{"a stale figure isn't used", 11 * time.Second, 0, 10, 100 * time.Millisecond},
	} {
		NewWithT(t).Expect(e.DecodeAfter(c.now, c.delay, c.tokens, 0)).To(BeNumerically("~", c.want, time.Millisecond), c.name)
	}
	e.ObserveFactor(9*time.Second, 1)
	factor, known := e.Factor(10 * time.Second)
	NewWithT(t).Expect([]any{factor, known}).To(Equal([]any{2.5, true}), "a report from before the latest one")
	e.ForgetFactors()
	NewWithT(t).Expect(e).To(Equal(plain), "another lifetime of the endpoint")
}
