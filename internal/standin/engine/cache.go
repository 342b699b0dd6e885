package engine

import (
	"container/list"

	"github.com/trefoilchute/trefoilchute/internal/prefix"
)

// block is one cached block of a prompt.
type block struct {
	hash uint64
	// parent is the hash of the block before it; 0 for the first one.
	parent uint64
}

// cacheChange lists the blocks that one operation stored and evicted.
type cacheChange struct {
	stored  []uint64
	evicted []uint64
}

// cache is a prefix cache of limited size that evicts the least recently used
// block first; of one prompt, the last block first. It is not safe for
// concurrent use.
type cache struct {
	// capacity is the size in blocks.
	capacity int
	blocks   map[uint64]*list.Element
	// recent holds the blocks, the most recently used one in front.
	recent *list.List
}

// newCache returns an empty cache for a number of tokens.
func newCache(tokens int) *cache {
	return &cache{
		capacity: tokens / prefix.BlockTokens,
		blocks:   map[uint64]*list.Element{},
		recent:   list.New(),
	}
}

// lookup returns how many blocks at the start of a prompt are cached, and marks
// them as used.
func (c *cache) lookup(hashes []uint64) int {
	found := 0
	for found < len(hashes) && c.blocks[hashes[found]] != nil {
		found++
	}
	for i := found - 1; i >= 0; i-- {
		c.recent.MoveToFront(c.blocks[hashes[i]])
	}
	return found
}

// insert stores the blocks of a prompt from its start, as many as fit.
func (c *cache) insert(hashes []uint64) cacheChange {
	var change cacheChange
	fitting := hashes[:min(len(hashes), c.capacity)]
	for i := len(fitting) - 1; i >= 0; i-- {
		hash := fitting[i]
		if element := c.blocks[hash]; element != nil {
			c.recent.MoveToFront(element)
			continue
		}
		parent := uint64(0)
		if i > 0 {
			parent = fitting[i-1]
		}
		c.blocks[hash] = c.recent.PushFront(block{hash: hash, parent: parent})
		change.stored = append(change.stored, hash)
	}
	change.evicted = c.shrink()
	return change
}

// shrink evicts blocks until the rest fits.
func (c *cache) shrink() []uint64 {
	var evicted []uint64
	for c.recent.Len() > c.capacity {
		last := c.recent.Back()
		hash := c.recent.Remove(last).(block).hash
		delete(c.blocks, hash)
		evicted = append(evicted, hash)
	}
	return evicted
}

// chain returns the cached blocks from the first one of a prompt to the block
// with the hash, or nil if any is missing.
func (c *cache) chain(hash uint64) []uint64 {
	var reversed []uint64
	for hash != 0 {
		element := c.blocks[hash]
		if element == nil {
			return nil
		}
		reversed = append(reversed, hash)
		hash = element.Value.(block).parent
	}
	hashes := make([]uint64, 0, len(reversed))
	for i := len(reversed) - 1; i >= 0; i-- {
		hashes = append(hashes, reversed[i])
	}
	return hashes
}
