// Package answer buffers the answer of one request while it is produced and for as
// long as a resend may ask for it. One writer appends; any number of readers read
// from any position.
package answer

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/result"
)

// Final is the end of an answer.
type Final struct {
	// Code is the result code; result.OK means that the answer is complete.
	Code   result.Code `cbor:"1,keyasint"`
	Reason string      `cbor:"2,keyasint,omitempty"`
	// RetryAfter is the delay after which the caller may retry; zero if not given.
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	// Status and ContentType are set for the answer of a plain service.
	Status      int    `cbor:"4,keyasint,omitempty"`
	ContentType string `cbor:"5,keyasint,omitempty"`
}

// Answer is an append-only list of parts and an end. A part is the JSON of one
// chunk of an engine's stream, or the whole body of a plain service's answer.
type Answer struct {
	mu      sync.Mutex
	parts   [][]byte
	bytes   int
	final   *Final
	changed chan struct{}
}

// New returns an empty answer.
func New() *Answer {
	return &Answer{changed: make(chan struct{})}
}

// Append adds a part. The answer keeps a reference to the slice. Parts appended
// after the end are dropped.
func (a *Answer) Append(part []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.final != nil {
		return
	}
	a.parts = append(a.parts, part)
	a.bytes += len(part)
	a.notifyReaders()
}

// Finish ends the answer and reports whether this was the first call. Later calls
// have no effect.
func (a *Answer) Finish(f Final) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.final != nil {
		return false
	}
	a.final = &f
	a.notifyReaders()
	return true
}

// notifyReaders signals a change to the readers. a.mu must be held.
func (a *Answer) notifyReaders() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// View is the content of an answer at a position.
type View struct {
	// Part is the part at the position, valid if HasPart is true.
	Part    []byte
	HasPart bool
	// Final is set if the answer has ended and no part is left.
	Final *Final
	// Changed is closed at the next change. It is nil if HasPart is true.
	Changed <-chan struct{}
}

// At returns the content at position i.
func (a *Answer) At(i int) View {
	a.mu.Lock()
	defer a.mu.Unlock()
	if i < len(a.parts) {
		return View{Part: a.parts[i], HasPart: true}
	}
	return View{Final: a.final, Changed: a.changed}
}

// Len returns the current number of parts.
func (a *Answer) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.parts)
}

// Size returns the current size of all parts in bytes.
func (a *Answer) Size() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bytes
}

// Final returns the end, or nil if the answer has not ended yet.
func (a *Answer) Final() *Final {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.final
}

// storedAnswer is the stored form of an ended answer.
type storedAnswer struct {
	Parts [][]byte `cbor:"1,keyasint"`
	Final Final    `cbor:"2,keyasint"`
}

// Encode returns the stored form of an ended answer.
func (a *Answer) Encode() ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.final == nil {
		return nil, errors.New("answer: not ended")
	}
	b, err := cbor.Marshal(storedAnswer{Parts: a.parts, Final: *a.final})
	return b, errors.Wrap(err, "answer: encode")
}

// Decode returns the answer from its stored form.
func Decode(b []byte) (*Answer, error) {
	var e storedAnswer
	if err := cbor.Unmarshal(b, &e); err != nil {
		return nil, errors.Wrap(err, "answer: decode")
	}
	a := New()
	for _, p := range e.Parts {
		a.Append(p)
	}
	a.Finish(e.Final)
	return a, nil
}
