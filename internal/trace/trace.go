// Package trace reads and writes traces of scheduling decisions. A trace holds
// the time, the events and a hash of the effects of each step of each pool
// scheduler; replaying the events yields the same effects.
//
// A trace is a sequence of frames. A frame is a CBOR map preceded by its length
// in bytes as a 32-bit big-endian integer. The first frame is a header with the
// format version. A process that appends to a trace writes another header,
// after which schedulers are numbered from zero again.
package trace

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/pool"
)

// Version is the format version that this package reads and writes.
const Version = 1

const (
	// magic identifies a header.
	magic = "trefoilchute trace"
	// lengthBytes is the size of a frame's length prefix.
	lengthBytes = 4
	// MaxFrame is the maximum size of a frame's content in bytes.
	MaxFrame = 16 << 20
	// maxItems is the maximum number of items of an array or map in a frame.
	maxItems = 1 << 18
	// maxNesting is the maximum nesting depth of a frame.
	maxNesting = 16
	// maxSchedulers is the maximum number of schedulers between two headers.
	maxSchedulers = 1 << 12
)

// Frame is a frame of a trace. Exactly one of its fields is set.
type Frame struct {
	Header *Header `cbor:"1,keyasint,omitempty"`
	Start  *Start  `cbor:"2,keyasint,omitempty"`
	Step   *Step   `cbor:"3,keyasint,omitempty"`
}

// Header starts a trace, or the part that a process appends to it.
type Header struct {
	Magic   string `cbor:"1,keyasint"`
	Version int    `cbor:"2,keyasint"`
}

// Start introduces a scheduler.
type Start struct {
	// Scheduler is the scheduler's number since the last header.
	Scheduler uint32      `cbor:"1,keyasint"`
	Config    pool.Config `cbor:"2,keyasint"`
}

// Step is a step of a scheduler.
type Step struct {
	Scheduler uint32 `cbor:"1,keyasint"`
	// At is the time of the step on the scheduler's clock.
	At time.Duration `cbor:"2,keyasint"`
	// Events holds the events of the step in order.
	Events []Event `cbor:"3,keyasint"`
	// EffectsHash is the hash of the step's effects, as returned by Hash.
	EffectsHash uint64 `cbor:"4,keyasint"`
}

// Kind identifies a type of event or effect. The number of a removed kind must
// not be reused.
type Kind uint8

// Event is an encoded event with its kind.
type Event struct {
	Kind Kind            `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

// encoding is deterministic, so that equal effects have equal hashes.
var encoding = mustMode(cbor.CoreDetEncOptions().EncMode())

// decoding limits the resources that untrusted input can consume.
var decoding = mustMode(cbor.DecOptions{
	MaxArrayElements: maxItems,
	MaxMapPairs:      maxItems,
	MaxNestedLevels:  maxNesting,
	IndefLength:      cbor.IndefLengthForbidden,
	TagsMd:           cbor.TagsForbidden,
}.DecMode())

// mustMode returns the mode and panics if the library rejects the options,
// which are constant.
func mustMode[M any](mode M, err error) M {
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the canonical encoding of effects.
func Encode(effects []pool.Effect) ([]byte, error) {
	var encoded []byte
	for _, e := range effects {
		kind, err := effectKind(e)
		if err != nil {
			return nil, err
		}
		body, err := encoding.Marshal(e)
		if err != nil {
			return nil, errors.Wrap(err, "encode the body of an effect")
		}
		encoded = append(encoded, byte(kind))
		encoded = append(encoded, body...)
	}
	return encoded, nil
}

// Hash returns the hash of the canonical encoding of effects.
func Hash(effects []pool.Effect) (uint64, error) {
	b, err := Encode(effects)
	return xxhash.Sum64(b), err
}
