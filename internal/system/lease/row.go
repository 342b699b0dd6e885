package lease

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

// Prefix holds the rows of leases.
const Prefix = "lease/"

// Row is the value of a lease's row.
type Row struct {
	Holder      ident.Host `json:"holder"`
	Incarnation uint64     `json:"incarnation"`
	// Fence is the fencing number. It grows with each change of holder.
	Fence uint64 `json:"fence"`
	// Count tells the writes of one holder apart.
	Count uint64 `json:"count"`
	// TermMillis is how long after the sending of this row the lease is held.
	TermMillis int64 `json:"term_ms"`
	// LingerMillis is how long after its end the holder's work may have effect.
	LingerMillis int64 `json:"linger_ms"`
	// Released says that the holder gave the lease up with no work left.
	Released bool `json:"released,omitempty"`
}

// errRow says that a row is not a lease.
var errRow = errors.New("lease: malformed row")

// maxFence leaves room for fencing numbers to grow.
const maxFence = 1 << 62

// maxSpanMillis bounds the spans in a row, so that a malformed one can't make
// a host wait for ever.
const maxSpanMillis = int64(time.Hour / time.Millisecond)

func (r Row) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // no field of a Row can fail to encode
	}
	return value
}

// decode reads the value of a lease's row.
func decode(value []byte) (Row, error) {
	var r Row
	if err := json.Unmarshal(value, &r); err != nil {
		return Row{}, errors.Wrap(errRow, err.Error())
	}
	if r.Holder == "" || r.Fence == 0 || r.Fence > maxFence {
		return Row{}, errors.Wrap(errRow, "no holder, or fence out of range")
	}
	if r.TermMillis < 0 || r.TermMillis > maxSpanMillis {
		return Row{}, errors.Wrap(errRow, "term out of range")
	}
	if r.LingerMillis < 0 || r.LingerMillis > maxSpanMillis {
		return Row{}, errors.Wrap(errRow, "linger out of range")
	}
	return r, nil
}

func (r Row) term() time.Duration   { return time.Duration(r.TermMillis) * time.Millisecond }
func (r Row) linger() time.Duration { return time.Duration(r.LingerMillis) * time.Millisecond }
