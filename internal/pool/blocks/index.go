// Package blocks keeps which prefix blocks which endpoint is thought to have
// cached: from the own history of dispatches, corrected by cache events.
package blocks

import (
	"slices"

	"github.com/trefoilchute/trefoilchute/internal/prefix"
)

// Index maps blocks to the endpoints that hold them. Endpoints are numbered by
// the caller. Each endpoint's cache is modelled as limited, dropping what was
// used least recently.
type Index struct {
	holders map[uint64][]int32
	caches  map[int32]*cache
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{holders: map[uint64][]int32{}, caches: map[int32]*cache{}}
}

// Resize sets how many tokens an endpoint's cache holds.
func (x *Index) Resize(endpoint int32, limit int) {
	c := x.caches[endpoint]
	if c == nil {
		c = newCache()
		x.caches[endpoint] = c
	}
	c.limit = limit
	x.shrink(endpoint, c)
}

// Store says that the endpoint has the blocks of a prompt, in their order, as
// the most recently used. They are used from the last to the first, so that a
// prefix stays longer than what is chained to it. tokens holds the blocks'
// lengths; if it is empty, each has prefix.BlockTokens.
func (x *Index) Store(endpoint int32, prompt []uint64, tokens []int) {
	c := x.caches[endpoint]
	if c == nil {
		return
	}
	for i, b := range slices.Backward(prompt) {
		if c.use(b, prefix.TokensOf(tokens, i)) {
			x.holders[b] = append(x.holders[b], endpoint)
		}
	}
	x.shrink(endpoint, c)
}

// Evict says that the endpoint has dropped blocks.
func (x *Index) Evict(endpoint int32, dropped []uint64) {
	c := x.caches[endpoint]
	if c == nil {
		return
	}
	for _, b := range dropped {
		if c.drop(b) {
			x.forget(endpoint, b)
		}
	}
}

// Clear says that the endpoint's cache is empty.
func (x *Index) Clear(endpoint int32) {
	c := x.caches[endpoint]
	if c == nil {
		return
	}
	for c.size() > 0 {
		x.forget(endpoint, c.dropOldest())
	}
}

// Remove forgets the endpoint.
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

// MatchOne returns how many leading blocks of the prompt one endpoint holds.
func (x *Index) MatchOne(endpoint int32, prompt []uint64) int {
	c := x.caches[endpoint]
	if c == nil {
		return 0
	}
	for i, b := range prompt {
		if _, ok := c.at[b]; !ok {
			return i
		}
	}
	return len(prompt)
}

func (x *Index) shrink(endpoint int32, c *cache) {
	for c.used > c.limit {
		x.forget(endpoint, c.dropOldest())
	}
}

func (x *Index) forget(endpoint int32, block uint64) {
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
