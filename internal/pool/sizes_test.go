package pool_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestLongestRequestsKeepTheirFloor runs a lasting overload in which one request in
// ten is four times as long as the others, and checks that the long ones are served at
// least half as often as all.
func TestLongestRequestsKeepTheirFloor(t *testing.T) {
	for _, load := range []float64{1.2, 1.5, 2.5, 4} {
		g := NewWithT(t)
		const short, long = burstTokens / 2, 2 * burstTokens
		const mean = (9*float64(short) + long) / 10 / burstTokens
		l := newLoadTest()
		l.patience = 3 * time.Second
		l.lengths = func(n int) int {
			if n%10 == 0 {
				return long
			}
			return short
		}
		l.run(true, func(time.Duration) float64 { return load * burstSlots / mean })
		longs := l.servedOf(long)
		onTime, all := l.onTime(0, burstRunTime)
		t.Logf("at %v: on time %.2f, served %.2f, of the long ones %.2f", load, onTime, all, longs)
		g.Expect(longs).To(BeNumerically(">=", all/2), "at %v of the capacity", load)
		g.Expect(all).To(BeNumerically(">=", 0.9/load*0.9), "at %v of the capacity: the slots are in use", load)
	}
}
