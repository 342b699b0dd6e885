package blocks

// minBlockTokens is what a shorter block counts against the capacity of a cache. Otherwise blocks of one
// token, or of none, would make the model of a cache many times larger than any engine's own table.
const minBlockTokens = 16

// cache is an LRU cache of blocks: a doubly linked ring in an array of nodes.
type cache struct {
	// limit and used are in tokens; a block counts as at least minBlockTokens.
	limit, used int
	nodeOf      map[uint64]int32
	nodes       []node
	free        []int32
}

// node is a block in the ring. Node 0 is the sentinel: its next is the most recently
// used block, its previous the least recently used one.
type node struct {
	block          uint64
	tokens         int
	next, previous int32
}

func newCache() *cache {
	return &cache{nodeOf: map[uint64]int32{}, nodes: make([]node, 1)}
}

func (c *cache) size() int { return len(c.nodeOf) }

// touch makes a block the most recently used and reports whether it is new.
func (c *cache) touch(block uint64, tokens int) bool {
	i, known := c.nodeOf[block]
	if known {
		c.unlink(i)
	} else {
		i = c.allocate(block, tokens)
	}
	c.link(i)
	return !known
}

// drop removes a block and reports whether it was present.
func (c *cache) drop(block uint64) bool {
	i, known := c.nodeOf[block]
	if !known {
		return false
	}
	c.unlink(i)
	c.used -= c.nodes[i].tokens
	delete(c.nodeOf, block)
	c.free = append(c.free, i)
	return true
}

// dropOldest removes the least recently used block and returns it.
func (c *cache) dropOldest() uint64 {
	block := c.nodes[c.nodes[0].previous].block
	c.drop(block)
	return block
}

func (c *cache) allocate(block uint64, tokens int) int32 {
	var i int32
	if n := len(c.free); n > 0 {
		i = c.free[n-1]
		c.free = c.free[:n-1]
	} else {
		i = int32(len(c.nodes))
		c.nodes = append(c.nodes, node{})
	}
	c.nodes[i].block, c.nodes[i].tokens = block, max(minBlockTokens, tokens)
	c.used += c.nodes[i].tokens
	c.nodeOf[block] = i
	return i
}

func (c *cache) unlink(i int32) {
	n := c.nodes[i]
	c.nodes[n.previous].next = n.next
	c.nodes[n.next].previous = n.previous
}

func (c *cache) link(i int32) {
	first := c.nodes[0].next
	c.nodes[i].previous, c.nodes[i].next = 0, first
	c.nodes[first].previous = i
	c.nodes[0].next = i
}
