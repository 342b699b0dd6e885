package fleet

import (
	"math"
	"slices"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/pool"
	"github.com/trefoilchute/trefoilchute/internal/prefix"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

const (
	// batchPenalty is by how much each further sequence slows the decoding of
	// all: with n sequences each has the single rate / (1 + penalty*(n-1)).
	batchPenalty = 0.08
	// batchLimit is the most sequences an engine runs at once; further ones
	// wait in its own queue, first come first served.
	batchLimit = 16
	// prefillShare is the part of the engine that prefill takes while other
	// sequences decode.
	prefillShare = 0.5
	// doneTokens is what may be left of a sequence that counts as done.
	doneTokens = 1e-6
)

// work is one dispatched request at an engine.
type work struct {
	request    pool.Request
	attempt    ident.Attempt
	output     int
	dispatched time.Duration
	// cached is the part of the prompt found in the cache at its start.
	cached  int
	started bool
	// prefill and decode are the tokens left.
	prefill    float64
	decode     float64
	firstToken time.Duration
	poison     bool
}

// engine is a fake of a continuously batching engine with a prefix cache. One
// sequence prefills at a time, the others decode beside it.
type engine struct {
	resource.Endpoint
	speed float64
	// factor is by how much longer than usual work takes at this moment.
	factor float64
	down   bool
	works  []*work
	cache  *cache
	// updated is the time up to which progress has been booked.
	updated time.Duration
	// version makes planned wake-ups of older plans void.
	version int
}

func newEngine(e resource.Endpoint) *engine {
	return &engine{Endpoint: e, speed: 1, factor: 1, cache: newCache(e.CacheTokens / prefix.BlockTokens)}
}

// batch returns the sequences that run.
func (e *engine) batch() []*work {
	return e.works[:min(len(e.works), batchLimit)]
}

// rates returns the sequence that prefills, the prefill rate and the rate of
// each decoding sequence, in tokens per second.
func (e *engine) rates() (prefilling *work, prefill, decode float64) {
	decoding := 0
	for _, w := range e.batch() {
		switch {
		case !w.started:
		case w.prefill > doneTokens:
			prefilling = w
		default:
			decoding++
		}
	}
	prefill = e.PrefillRate * e.speed / e.factor
	decode = e.DecodeRate * e.speed / e.factor / (1 + batchPenalty*float64(max(decoding-1, 0)))
	if prefilling != nil && decoding > 0 {
		prefill *= prefillShare
		decode *= 1 - prefillShare
	}
	return prefilling, prefill, decode
}

// advance books the progress since the last update. It must be called before
// anything changes.
func (e *engine) advance(now time.Duration) {
	elapsed := (now - e.updated).Seconds()
	e.updated = now
	if elapsed <= 0 || e.down {
		return
	}
	prefilling, prefill, decode := e.rates()
	for _, w := range e.batch() {
		if w == prefilling {
			w.prefill = max(0, w.prefill-prefill*elapsed)
			continue
		}
		if w.started && w.prefill <= doneTokens {
			w.decode = max(0, w.decode-decode*elapsed)
		}
	}
}

// next returns the time until the first sequence changes its state.
func (e *engine) next() (time.Duration, bool) {
	if e.down || len(e.works) == 0 {
		return 0, false
	}
	prefilling, prefill, decode := e.rates()
	soonest := math.Inf(1)
	for _, w := range e.batch() {
		if w == prefilling {
			soonest = min(soonest, w.prefill/prefill)
			continue
		}
		if w.started && w.prefill <= doneTokens {
			soonest = min(soonest, w.decode/decode)
		}
	}
	return time.Duration(math.Ceil(soonest*1e9)) + time.Nanosecond, true
}

// nextPrefill returns the sequence whose prefill is to begin now, or nil.
func (e *engine) nextPrefill() *work {
	var first *work
	for _, w := range e.batch() {
		if w.started && w.prefill > doneTokens {
			return nil
		}
		if !w.started && first == nil {
			first = w
		}
	}
	return first
}

// begin looks up the cache for a sequence whose prefill begins.
func (e *engine) begin(w *work) {
	w.started = true
	blocks := e.cache.match(w.request.Prefix)
	w.cached = min(blocks*prefix.BlockTokens, w.request.PromptTokens)
	w.prefill = float64(w.request.PromptTokens-w.cached) + 1
	w.decode = float64(w.output)
}

// remove takes a sequence out.
func (e *engine) remove(w *work) {
	e.works = slices.DeleteFunc(e.works, func(x *work) bool { return x == w })
}

// crash empties the engine and returns what was in flight.
func (e *engine) crash() []*work {
	lost := e.works
	e.works = nil
	e.down = true
	e.cache = newCache(e.CacheTokens / prefix.BlockTokens)
	return lost
}

// cache is a prefix cache of limited size that drops the least recently used
// block.
type cache struct {
	limit int
	clock uint64
	used  map[uint64]uint64
	order []cacheUse
}

// cacheUse is one use of a block; it is stale if the block was used later.
type cacheUse struct {
	block uint64
	clock uint64
}

func newCache(limit int) *cache {
	return &cache{limit: limit, used: map[uint64]uint64{}}
}

// match returns how many leading blocks are cached.
func (c *cache) match(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := c.used[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

// store adds the blocks of a prompt and returns the new and the dropped ones.
// Blocks are touched from the last to the first, so that a prefix outlives
// what is chained to it.
func (c *cache) store(blocks []uint64) (stored, evicted []uint64) {
	for _, b := range slices.Backward(blocks) {
		if _, ok := c.used[b]; !ok {
			stored = append(stored, b)
		}
		c.clock++
		c.used[b] = c.clock
		c.order = append(c.order, cacheUse{b, c.clock})
	}
	for len(c.used) > c.limit {
		oldest := c.order[0]
		c.order = c.order[1:]
		if c.used[oldest.block] == oldest.clock {
			delete(c.used, oldest.block)
			evicted = append(evicted, oldest.block)
		}
	}
	return stored, evicted
}
