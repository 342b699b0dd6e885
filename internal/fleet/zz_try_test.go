package fleet

import (
	"fmt"
	"os"
	"testing"
	"time"
)

func TestTry(t *testing.T) {
	if os.Getenv("TRY") == "" {
		t.Skip()
	}
	d := Deployments()[os.Getenv("TRY")]
	for _, load := range []float64{0.7, 1.0, 2.5} {
		p, _ := NewPolicy(PolicyPool, 1)
		l := 2 * time.Minute
		r := Execute(p, d, Generate(d, 1, load, l), StandardFaults(l), 1)
		fmt.Printf("%v %+v %v\n", load, r.Tiers, r.Refusals)
		f := StandardFaults(l)
		f.SlowTo, f.CrashAt = 0, 0
		p, _ = NewPolicy(PolicyPool, 1)
		r = Execute(p, d, Generate(d, 1, load, l), f, 1)
		fmt.Printf("   no faults %+v %v\n", r.Tiers, r.Refusals)
	}
}
