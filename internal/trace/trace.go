// Package trace reads and writes traces of scheduling decisions: for each step
// of each pool scheduler its time, its events and a hash of its effects. A
// trace replays to the same effects.
//
// A trace is a series of frames. A frame is its length in bytes as four bytes,
// most significant first, and a CBOR map. The first frame is a header with the
// version; a process that appends to a trace writes another header, after
// which the numbers of schedulers start anew.
package trace

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/pool"
)

// Version is the version of the format that this package writes and reads.
const Version = 1

const (
	// magic marks a header.
	magic = "trefoilchute trace"
	// lengthBytes is the size of a frame's length.
	lengthBytes = 4
	// MaxFrame bounds a frame in bytes.
	MaxFrame = 16 << 20
	// maxItems bounds arrays and maps in a frame.
	maxItems = 1 << 18
	// maxNesting bounds how deep a frame nests.
	maxNesting = 16
	// maxSchedulers bounds the schedulers between two headers.
	maxSchedulers = 1 << 12
)

// Frame is one frame; exactly one of its fields is set.
type Frame struct {
	Header *Header `cbor:"1,keyasint,omitempty"`
	Start  *Start  `cbor:"2,keyasint,omitempty"`
	Step   *Step   `cbor:"3,keyasint,omitempty"`
}

// Header opens a trace or what a process appends to it.
type Header struct {
	Magic   string `cbor:"1,keyasint"`
	Version int    `cbor:"2,keyasint"`
}

// Start introduces a scheduler.
type Start struct {
	// Scheduler is its number in the trace.
	Scheduler uint32      `cbor:"1,keyasint"`
	Config    pool.Config `cbor:"2,keyasint"`
}

// Step is one step of a scheduler.
type Step struct {
	Scheduler uint32 `cbor:"1,keyasint"`
	// At is the time of the step on the scheduler's clock.
	At time.Duration `cbor:"2,keyasint"`
	// Events are the events of the step, in order.
	Events []Event `cbor:"3,keyasint"`
	// EffectsHash is the hash of the effects; see Hash.
	EffectsHash uint64 `cbor:"4,keyasint"`
}

// Kind numbers the types of events and effects. Numbers are never reused.
type Kind uint8

// Event is an event with its kind.
type Event struct {
	Kind Kind            `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

// encoding is deterministic, so that equal effects have equal hashes.
var encoding = mustMode(cbor.CoreDetEncOptions().EncMode())

// decoding bounds what hostile input can ask for.
var decoding = mustMode(cbor.DecOptions{
	MaxArrayElements: maxItems,
	MaxMapPairs:      maxItems,
	MaxNestedLevels:  maxNesting,
	IndefLength:      cbor.IndefLengthForbidden,
	TagsMd:           cbor.TagsForbidden,
}.DecMode())

// mustMode panics on options that the library refuses; they are constant.
func mustMode[M any](mode M, err error) M {
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the canonical bytes of effects.
func Encode(effects []pool.Effect) ([]byte, error) {
	var out []byte
	for _, e := range effects {
		kind, err := effectKind(e)
		if err != nil {
			return nil, err
		}
		body, err := encoding.Marshal(e)
		if err != nil {
			return nil, errors.Wrap(err, "encode an effect")
		}
		out = append(out, byte(kind))
		out = append(out, body...)
	}
	return out, nil
}

// Hash returns the hash of the canonical bytes of effects.
func Hash(effects []pool.Effect) (uint64, error) {
	b, err := Encode(effects)
	return xxhash.Sum64(b), err
}
