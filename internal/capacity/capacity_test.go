package capacity

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	standin "github.com/trefoilchute/trefoilchute/internal/standin/platform"
)

func TestFiguresAreRatesAHost(t *testing.T) {
	g := NewWithT(t)
	at := time.Unix(100, 0)
	before := sample{at: at, cpu: time.Second, bytes: 1000, messages: 10, batches: 5}
	after := sample{
		at: at.Add(10 * time.Second), cpu: 3 * time.Second, heap: 400, stacks: 40, resident: 4000, threads: 8,
		bytes: 5000, messages: 50, batches: 25,
		platform: standin.Counters{
			Reads: 20, Writes: 10, Operations: map[standin.Operation]uint64{standin.OperationGet: 20},
		},
	}
	g.Expect(compare(4, before, after)).To(Equal(Figures{
		Hosts: 4, CPU: 5, Heap: 100, Stacks: 10, Resident: 1000, Goroutines: 2,
		PeerBytes: 100, PeerMessages: 1, PeerBatches: 0.5, Reads: 2, Writes: 1,
		Operations: map[standin.Operation]float64{standin.OperationGet: 2},
	}))
}

func TestMeasurementIsBounded(t *testing.T) {
	g := NewWithT(t)
	good := Options{Hosts: 8, Domains: 4, Teams: 1, Duration: time.Second}
	g.Expect(good.check()).To(Succeed())
	for name, change := range map[string]func(*Options){
		"hosts":   func(o *Options) { o.Hosts = MaxHosts + 1 },
		"domains": func(o *Options) { o.Domains = o.Hosts + 1 },
		"teams":   func(o *Options) { o.Teams = 0 },
		"length":  func(o *Options) { o.Duration = MaxDuration + 1 },
		"settle":  func(o *Options) { o.Settle = -1 },
		"rate":    func(o *Options) { o.Rate = -1 },
	} {
		o := good
		change(&o)
		_, err := Run(t.Context(), o)
		g.Expect(err).To(MatchError(ContainSubstring("capacity: ")), name)
	}
}

func TestRunMeasuresHostsThatServe(t *testing.T) {
	g := NewWithT(t)
	f, err := Run(t.Context(), Options{
		Hosts: 2, Domains: 1, Teams: 1, EngineCount: 1, Duration: 2 * time.Second, Log: quietLog(),
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f.CPU).To(BeNumerically(">", 0))
	g.Expect(f.Heap).To(BeNumerically(">", 0))
	g.Expect(f.Operations[standin.OperationRegister]).To(BeNumerically(">", 0))
}
