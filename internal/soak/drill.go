package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/standin/store"
)

const (
	// drillAway is how long the store is away before it comes back from a copy.
	drillAway = 500 * time.Millisecond
	// keptCopies is the number of copies of the store that are kept, one each beatInterval.
	keptCopies = 20
	// longestRewrite bounds the time after which the operator writes again what was lost, and
	// ghostTime is how long the row of an endpoint that is gone stays: three missed reports.
	longestRewrite = time.Second
	ghostTime      = 3 * beatInterval
	// passedVersions is the number of versions that are given out again at once.
	passedVersions = 200
)

// storeCopy is the store's content at one time.
type storeCopy struct {
	at      time.Time
	content store.Copy
}

// writeOrder writes a row of the operator, or removes it if there is no value.
func (w *world) writeOrder(key string, value []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orders[key] = value
	if value == nil {
		w.store.Remove("op", "", key)
	} else {
		w.store.Put("op", "", key, value)
	}
}

// drill lets the store come back from an older copy. Endpoints write their rows again at once, the
// operator the configuration after a while, and rows of endpoints that are gone lapse.
func (w *world) drill(d draws) {
	defer w.spoil("store drill", "")()
	cut := d.a%3 > 0
	if cut {
		w.store.Set(store.Faults{Refuse: http.StatusServiceUnavailable})
		time.Sleep(drillAway)
	}
	w.mu.Lock()
	if len(w.copies) > 0 {
		w.store.Restore(w.copies[d.b%len(w.copies)].content, cut)
	}
	if cut {
		w.store.Set(store.Faults{})
	}
	for _, s := range w.servers {
		w.writeServer(s)
	}
	if !cut {
		for n := range passedVersions {
			w.store.Put("other", "", fmt.Sprint(n%10), nil)
		}
	}
	w.mu.Unlock()
	time.Sleep(min(d.span/4, longestRewrite))
	w.mu.Lock()
	w.store.Put("op", "", "config", w.written)
	for key, value := range w.orders {
		have, ok := w.store.Value("op", "", key)
		switch {
		case value == nil && ok:
			w.store.Remove("op", "", key)
		case value != nil && !bytes.Equal(have, value):
			w.store.Put("op", "", key, value)
		}
	}
	w.mu.Unlock()
	time.Sleep(ghostTime)
	w.mu.Lock()
	defer w.mu.Unlock()
	lives := map[string]bool{}
	for _, s := range w.servers {
		lives[s.id] = true
	}
	for _, s := range w.all {
		if !lives[s.id] {
			w.store.Remove("servers", "", s.id)
		}
	}
}
