// Package supervise runs goroutines that a process can't do without. A panic in one must not be kept
// until somebody waits for it, while the process goes on without that part.
package supervise

import (
	"sync"

	"github.com/sourcegraph/conc/panics"
)

// Group is a group of goroutines. The zero value is ready for use.
type Group struct {
	// Panicked is called with the name of the goroutine that panicked. It has to end the process. If
	// it is nil, the panic itself does.
	Panicked func(part string, r *panics.Recovered)

	wg sync.WaitGroup
}

// Go runs f in a goroutine.
func (g *Group) Go(part string, f func()) {
	g.wg.Go(func() {
		if g.Panicked == nil {
			f()
			return
		}
		if r := panics.Try(f); r != nil {
			g.Panicked(part, r)
		}
	})
}

// Wait waits until all goroutines have returned.
func (g *Group) Wait() {
	g.wg.Wait()
}
