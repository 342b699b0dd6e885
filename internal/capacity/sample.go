package capacity

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	standin "github.com/trefoilchute/trefoilchute/internal/standin/platform"
)

// percent turns a share into per cent.
const percent = 100

// sample is what the process and the platform have counted so far.
type sample struct {
	at       time.Time
	cpu      time.Duration
	heap     uint64
	stacks   uint64
	resident uint64
	threads  int
	bytes    uint64
	messages uint64
	batches  uint64
	platform standin.Counters
}

// Figures are the result of a measurement.
type Figures struct {
	Hosts int
	// CPU is processor time as per cent of a core, a host.
	CPU float64
	// Heap is the memory of live objects, Stacks that of goroutines, and
	// Resident that of the whole process, in bytes a host.
	Heap, Stacks, Resident float64
	// Goroutines is their number a host.
	Goroutines float64
	// PeerBytes, PeerMessages and PeerBatches were sent to other hosts, a host
	// and second.
	PeerBytes, PeerMessages, PeerBatches float64
	// Reads and Writes are calls to the platform a second by all hosts.
	Reads, Writes float64
	// Operations are the calls a second by operation, by all hosts.
	Operations map[standin.Operation]float64
}

// sample reads all counters. It collects garbage first, which is counted in the
// processor time of the time before it.
func (d *deployment) sample(ctx context.Context) (sample, error) {
	var err error
	s := sample{threads: runtime.NumGoroutine()}
	if s.platform, err = d.counters(ctx); err != nil {
		return s, err
	}
	for _, e := range d.entries {
		for _, p := range e.PeerStats().Peers {
			s.bytes += p.BytesSent
			s.messages += p.MessagesSent
			s.batches += p.BatchesSent
		}
	}
	if s.cpu, err = processorTime(); err != nil {
		return s, err
	}
	s.at = time.Now()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	s.heap, s.stacks = memory.HeapAlloc, memory.StackInuse
	s.resident, err = residentBytes()
	return s, err
}

// compare returns the figures of the time between two samples.
func compare(hosts int, before, after sample) Figures {
	n := float64(hosts)
	seconds := after.at.Sub(before.at).Seconds()
	rate := func(from, to uint64) float64 { return float64(to-from) / seconds }
	f := Figures{
		Hosts:      hosts,
		CPU:        percent * (after.cpu - before.cpu).Seconds() / seconds / n,
		Heap:       float64(after.heap) / n,
		Stacks:     float64(after.stacks) / n,
		Resident:   float64(after.resident) / n,
		Goroutines: float64(after.threads) / n,

		PeerBytes:    rate(before.bytes, after.bytes) / n,
		PeerMessages: rate(before.messages, after.messages) / n,
		PeerBatches:  rate(before.batches, after.batches) / n,
		Reads:        rate(before.platform.Reads, after.platform.Reads),
		Writes:       rate(before.platform.Writes, after.platform.Writes),
		Operations:   map[standin.Operation]float64{},
	}
	for operation, count := range after.platform.Operations {
		f.Operations[operation] = rate(before.platform.Operations[operation], count)
	}
	return f
}

// counters asks the platform's stand-in for its counters.
func (d *deployment) counters(ctx context.Context) (standin.Counters, error) {
	var counters standin.Counters
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.platform+standin.PathCounters, http.NoBody)
	if err != nil {
		return counters, errors.Wrap(err, "capacity: counters")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return counters, errors.Wrap(err, "capacity: counters")
	}
	defer func() { _ = resp.Body.Close() }()
	return counters, errors.Wrap(json.NewDecoder(resp.Body).Decode(&counters), "capacity: counters")
}

// processorTime returns the processor time that this process has used.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, errors.Wrap(err, "capacity: processor time")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// residentBytes returns the resident memory of this process.
func residentBytes() (uint64, error) {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, errors.Wrap(err, "capacity: memory")
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, errors.New("capacity: /proc/self/statm has no resident size")
	}
	pages, err := strconv.ParseUint(fields[1], 10, 64)
	return pages * uint64(os.Getpagesize()), errors.Wrap(err, "capacity: memory")
}
