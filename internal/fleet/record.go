package fleet

import (
	"fmt"
	"io"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/trace"
)

// Record runs the pool scheduler over a workload with the standard faults and
// a poison request, and writes the trace of its steps.
func Record(w io.Writer, d Deployment, seed uint64, load float64, length time.Duration) (Result, error) {
	recorder, err := trace.NewRecorder(w)
	if err != nil {
		return Result{}, err
	}
	c := pool.Config{Pool: Pool, Epoch: 1, Seed: seed}
	stream, err := recorder.Start(c)
	if err != nil {
		return Result{}, err
	}
	var failed error
	items := AddPoison(Generate(d, seed, load, length), length/4, length)
	r := execute(pool.New(c), d, items, StandardFaults(length), seed,
		func(now time.Duration, events []pool.Event, effects []pool.Effect) {
			if failed == nil {
				failed = stream.Record(now, events, effects)
			}
		})
	return r, failed
}

// poisonEvery is the time after which a caller sends a poison request again.
const poisonEvery = 3 * time.Second

// AddPoison adds a request that crashes each engine that runs it, sent again
// and again under new keys between two times.
func AddPoison(items []Item, from, to time.Duration) []Item {
	if len(items) == 0 {
		return items
	}
	model := items[0].Request
	for at, n := from, 0; at < to; at, n = at+poisonEvery, n+1 {
		r := model
		r.ID = poisonID(n)
		r.KeyHash = uint64(n) + 1
		r.Fingerprint = poisonFingerprint
		r.Rank = 0
		r.Deadline = at + time.Minute
		items = append(items, Item{At: at, Request: r, Output: 64, Poison: true})
	}
	return items
}

// poisonFingerprint is the hash of the poison request's body.
const poisonFingerprint = 0xdead

func poisonID(n int) ident.Request {
	return ident.Request(fmt.Sprintf("poison%03d", n))
}
