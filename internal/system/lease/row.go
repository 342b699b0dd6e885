package lease

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/ident"
)

// Prefix is the key prefix of lease rows.
const Prefix = "lease/"

// Row is the value of a lease's row.
type Row struct {
	Holder      ident.Host `json:"holder"`
	Incarnation uint64     `json:"incarnation"`
	// Fence is the fencing token. It grows with each change of holder.
	Fence uint64 `json:"fence"`
	// Count distinguishes the writes of one holder.
	Count uint64 `json:"count"`
	// TermMillis is how long the lease is held after this row was sent.
	TermMillis int64 `json:"term_ms"`
	// LingerMillis is how long after the term the holder's work may take effect.
	LingerMillis int64 `json:"linger_ms"`
	// Released says that the holder released the lease with no work left.
	Released bool `json:"released,omitempty"`
}

// errMalformedRow means that a row can't be decoded.
var errMalformedRow = errors.New("lease: malformed row")

// maxFence bounds a decoded fencing token to leave room for increments.
const maxFence = 1 << 62

// maxSpanMillis bounds the durations in a row, so that a malformed row can't make
// a host wait forever.
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
		return Row{}, errors.Wrap(errMalformedRow, err.Error())
	}
	if r.Holder == "" || r.Fence == 0 || r.Fence > maxFence {
		return Row{}, errors.Wrap(errMalformedRow, "holder missing or fence out of range")
	}
	if r.TermMillis < 0 || r.TermMillis > maxSpanMillis {
		return Row{}, errors.Wrap(errMalformedRow, "term out of range")
	}
	if r.LingerMillis < 0 || r.LingerMillis > maxSpanMillis {
		return Row{}, errors.Wrap(errMalformedRow, "linger out of range")
	}
	return r, nil
}

func (r Row) term() time.Duration   { return time.Duration(r.TermMillis) * time.Millisecond }
func (r Row) linger() time.Duration { return time.Duration(r.LingerMillis) * time.Millisecond }
