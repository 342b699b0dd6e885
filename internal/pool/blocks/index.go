// Package blocks tracks which prefix blocks each endpoint is expected to have cached,
// based on the requests dispatched to it and corrected by its cache events.
package blocks

import (
	"slices"

	"github.com/trefoilchute/trefoilchute/internal/prefix"
)

const (
	// minBlocks and blocksPerEndpoint bound the blocks of all endpoints of a pool together. A block
	// takes about 120 bytes.
	minBlocks         = 1 << 16
	blocksPerEndpoint = 4 << 10
	// evictedShare is the part of the largest cache that is evicted at once when there are too many
	// blocks, so that the largest one is seldom looked up.
	evictedShare = 1.0 / 64
)

// Index maps blocks to the endpoints that hold them. Endpoints are numbered by the
// caller. Each endpoint's cache is modelled as a bounded LRU cache.
type Index struct {
	holders map[uint64][]int32
	caches  map[int32]*cache
	// total is the number of blocks in all caches.
	total int
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{holders: map[uint64][]int32{}, caches: map[int32]*cache{}}
}

// Resize sets the capacity of an endpoint's cache in tokens.
func (x *Index) Resize(endpoint int32, limit int) {
	c := x.caches[endpoint]
	if c == nil {
		c = newCache()
		x.caches[endpoint] = c
	}
	c.limit = limit
	x.evictToLimit(endpoint, c)
}

// Store records that the endpoint has the blocks of a prompt cached, as its most
// recently used. They are touched from last to first, so that a prefix stays longer
// than the blocks that are chained to it. tokens holds the blocks' lengths; if it is
// empty, each has prefix.BlockTokens.
func (x *Index) Store(endpoint int32, prompt []uint64, tokens []int) {
	c := x.caches[endpoint]
	if c == nil {
		return
	}
	for i, b := range slices.Backward(prompt) {
		if c.touch(b, prefix.TokensOf(tokens, i)) {
			x.holders[b] = append(x.holders[b], endpoint)
			x.total++
		}
	}
	x.evictToLimit(endpoint, c)
	x.evictToTotal()
}

// Evict records that the endpoint has evicted blocks.
func (x *Index) Evict(endpoint int32, dropped []uint64) {
	c := x.caches[endpoint]
	if c == nil {
		return
	}
	for _, b := range dropped {
		if c.drop(b) {
			x.removeHolder(endpoint, b)
		}
	}
}

// Clear records that the endpoint's cache is empty.
func (x *Index) Clear(endpoint int32) {
	c := x.caches[endpoint]
	if c == nil {
		return
	}
	for c.size() > 0 {
		x.removeHolder(endpoint, c.dropOldest())
	}
}

// Remove removes the endpoint.
func (x *Index) Remove(endpoint int32) {
	x.Clear(endpoint)
	delete(x.caches, endpoint)
}

// Match sets matched[e] to the number of leading blocks of the prompt that
// endpoint e holds, for each e below len(matched).
func (x *Index) Match(prompt []uint64, matched []int) {
	clear(matched)
	for i, b := range prompt {
		advanced := false
		for _, e := range x.holders[b] {
			if int(e) < len(matched) && matched[e] == i {
				matched[e] = i + 1
				advanced = true
			}
		}
		if !advanced {
			return
		}
	}
}

// MatchOne returns the number of leading blocks of the prompt that one endpoint holds.
func (x *Index) MatchOne(endpoint int32, prompt []uint64) int {
	c := x.caches[endpoint]
	if c == nil {
		return 0
	}
	for i, b := range prompt {
		if _, ok := c.nodeOf[b]; !ok {
			return i
		}
	}
	return len(prompt)
}

func (x *Index) evictToLimit(endpoint int32, c *cache) {
	for c.used > c.limit {
		x.removeHolder(endpoint, c.dropOldest())
	}
}

// evictToTotal evicts the least recently used blocks of the largest caches until all caches together
// have few enough.
func (x *Index) evictToTotal() {
	most := max(minBlocks, blocksPerEndpoint*len(x.caches))
	for x.total > most {
		endpoint := x.largest()
		c := x.caches[endpoint]
		for range max(1, int(evictedShare*float64(c.size()))) {
			x.removeHolder(endpoint, c.dropOldest())
		}
	}
}

// largest returns the endpoint whose cache has most blocks; of several, the one with the lowest number.
func (x *Index) largest() int32 {
	out, most := int32(-1), 0
	for e, c := range x.caches {
		if n := c.size(); n > most || n == most && e < out {
			out, most = e, n
		}
	}
	return out
}

func (x *Index) removeHolder(endpoint int32, block uint64) {
	x.total--
	list := x.holders[block]
	i := slices.Index(list, endpoint)
	list[i] = list[len(list)-1]
	list = list[:len(list)-1]
	if len(list) == 0 {
		delete(x.holders, block)
		return
	}
	x.holders[block] = list
}
