// Package idle pools idle connections by address. The caller decides whether a
// connection can be reused.
package idle

import (
	"io"
	"sync"
)

// Table holds the idle connections. It is safe for concurrent use.
type Table[C io.Closer] struct {
	mu   sync.Mutex
	rows map[string][]C
	// maxPerAddress is the maximum number of connections to one address.
	maxPerAddress int
}

// New returns an empty table that keeps at most maxPerAddress connections to each
// address.
func New[C io.Closer](maxPerAddress int) *Table[C] {
	return &Table[C]{rows: map[string][]C{}, maxPerAddress: maxPerAddress}
}

// Take removes and returns the most recently added connection to an address. It
// returns false if there is none.
func (t *Table[C]) Take(address string) (last C, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.rows[address]
	if len(list) == 0 {
		return last, false
	}
	end := len(list) - 1
	last = list[end]
	clear(list[end:])
	t.rows[address] = list[:end]
	return last, true
}

// Put adds a connection, or closes it if the table is full for its address.
func (t *Table[C]) Put(address string, c C) {
	t.mu.Lock()
	room := len(t.rows[address]) < t.maxPerAddress
	if room {
		t.rows[address] = append(t.rows[address], c)
	}
	t.mu.Unlock()
	if !room {
		_ = c.Close()
	}
}

// Drop closes all connections to an address.
func (t *Table[C]) Drop(address string) {
	t.mu.Lock()
	list := t.rows[address]
	delete(t.rows, address)
	t.mu.Unlock()
	closeAll(list)
}

// Sweep closes the connections for which keep returns false.
func (t *Table[C]) Sweep(keep func(address string, c C) bool) {
	var old []C
	t.mu.Lock()
	for address, list := range t.rows {
		kept := list[:0]
		for _, c := range list {
			if keep(address, c) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		clear(list[len(kept):])
		t.rows[address] = kept
		if len(kept) == 0 {
			delete(t.rows, address)
		}
	}
	t.mu.Unlock()
	closeAll(old)
}

// Len returns the number of connections.
func (t *Table[C]) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, list := range t.rows {
		n += len(list)
	}
	return n
}

// Close closes all connections.
func (t *Table[C]) Close() {
	t.Sweep(func(string, C) bool { return false })
}

func closeAll[C io.Closer](list []C) {
	for _, c := range list {
		_ = c.Close()
	}
}
