// Package answer holds the answer of one request while it grows and for as
// long as a resend may ask for it. One writer appends; any number of readers
// follow from any part.
package answer

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/result"
)

// Final ends an answer.
type Final struct {
	// Code is the result code; result.OK means that the answer is whole.
	Code   result.Code `cbor:"1,keyasint"`
	Reason string      `cbor:"2,keyasint,omitempty"`
	// RetryAfter is when to come back; zero if unstated.
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
	// Status and ContentType belong to the answer of a plain service.
	Status      int    `cbor:"4,keyasint,omitempty"`
	ContentType string `cbor:"5,keyasint,omitempty"`
}

// Answer is a log of parts with an end. A part is the JSON of one chunk of an
// engine's stream, or the whole body of a plain service's answer.
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

// Append adds a part. The answer keeps the slice. Parts after the end are
// dropped.
func (a *Answer) Append(part []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.final != nil {
		return
	}
	a.parts = append(a.parts, part)
	a.bytes += len(part)
	a.wake()
}

// Finish ends the answer. Only the first call counts; it returns true.
func (a *Answer) Finish(f Final) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.final != nil {
		return false
	}
	a.final = &f
	a.wake()
	return true
}

// wake tells the readers that something changed. The lock is held.
func (a *Answer) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// View is what a reader finds at its position.
type View struct {
	// Part is the part at the position, if Has is true.
	Part []byte
	HasPart  bool
	// Final is set when the answer has ended and no part is left.
	Final *Final
	// Changed is closed at the next change.
	Changed <-chan struct{}
}

// At returns what stands at position i.
func (a *Answer) At(i int) View {
	a.mu.Lock()
	defer a.mu.Unlock()
	if i < len(a.parts) {
		return View{Part: a.parts[i], HasPart: true}
	}
	return View{Final: a.final, Changed: a.changed}
}

// Len returns the number of parts so far.
func (a *Answer) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.parts)
}

// Size returns the number of bytes of all parts so far.
func (a *Answer) Size() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bytes
}

// Final returns the end, or nil while the answer grows.
func (a *Answer) Final() *Final {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.final
}

// encoded is the stored form of an ended answer.
type encoded struct {
	Parts [][]byte `cbor:"1,keyasint"`
	Final Final    `cbor:"2,keyasint"`
}

// Encode returns an ended answer as bytes.
func (a *Answer) Encode() ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.final == nil {
		return nil, errors.New("answer: not ended")
	}
	b, err := cbor.Marshal(encoded{Parts: a.parts, Final: *a.final})
	return b, errors.Wrap(err, "answer: encode")
}

// Decode returns the answer that Encode stored.
func Decode(b []byte) (*Answer, error) {
	var e encoded
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
