package configuration

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// maxStateBytes bounds a decompressed snapshot or delta.
const maxStateBytes = 64 << 20

// errUnusableState means that a state from another host can't be used.
var errUnusableState = errors.New("configuration: unusable state from another host")

// history keeps the last snapshots and the states encoded from them for other hosts.
//
// Invariant: snapshots are ordered by revision, and all states lead to the last one.
type history struct {
	snapshots []*resource.Snapshot
	states    map[uint64]*peerpb.ConfigState
}

// add appends a snapshot that is newer than the last.
func (h *history) add(snapshot *resource.Snapshot) {
	h.snapshots = append(h.snapshots, snapshot)
	if len(h.snapshots) > historyLength {
		h.snapshots = h.snapshots[1:]
	}
	h.states = map[uint64]*peerpb.ConfigState{}
}

// since returns the state that leads from a revision to the last snapshot: a delta if
// the revision is kept, else the full snapshot. It returns nil if there is nothing
// newer.
func (h *history) since(revision uint64) *peerpb.ConfigState {
	last := h.snapshots[len(h.snapshots)-1]
	if revision >= last.Revision {
		return nil
	}
	var base *resource.Snapshot
	for _, s := range h.snapshots {
		if s.Revision == revision {
			base = s
		}
	}
	key := uint64(0)
	if base != nil {
		key = base.Revision
	}
	if state, ok := h.states[key]; ok {
		return state
	}
	state, err := encodeState(base, last)
	if err != nil {
		return nil
	}
	h.states[key] = state
	return state
}

// encodeState returns the delta between two snapshots, or the second one in full if
// the first is nil.
func encodeState(base, last *resource.Snapshot) (*peerpb.ConfigState, error) {
	if base == nil {
		encoded, err := resource.EncodeSnapshot(last)
		if err != nil {
			return nil, err
		}
		return &peerpb.ConfigState{Revision: last.Revision, Encoded: compress(encoded)}, nil
	}
	delta, err := resource.Diff(base, last)
	if err != nil {
		return nil, err
	}
	encoded, err := resource.EncodeDelta(delta)
	if err != nil {
		return nil, err
	}
	return &peerpb.ConfigState{
		Base: base.Revision, Revision: last.Revision, Encoded: compress(encoded),
	}, nil
}

// decodeState returns the snapshot that a state yields, based on the current one.
func decodeState(current *resource.Snapshot, m *peerpb.ConfigState) (*resource.Snapshot, error) {
	encoded, err := decompress(m.GetEncoded())
	if err != nil {
		return nil, err
	}
	var next *resource.Snapshot
	if m.GetBase() == 0 {
		next, err = resource.DecodeSnapshot(encoded)
	} else {
		next, err = applyDelta(current, encoded)
	}
	if err != nil {
		return nil, err
	}
	if next.Revision != m.GetRevision() {
		return nil, errUnusableState
	}
	return next, nil
}

// applyDelta applies an encoded delta to the current snapshot.
func applyDelta(current *resource.Snapshot, encoded []byte) (*resource.Snapshot, error) {
	if current == nil {
		return nil, errUnusableState
	}
	delta, err := resource.DecodeDelta(encoded)
	if err != nil {
		return nil, err
	}
	return delta.Apply(current)
}

// compress deflates data.
func compress(data []byte) []byte {
	var buf bytes.Buffer
	w, _ := flate.NewWriter(&buf, flate.BestSpeed) // fails only for a wrong level
	_, _ = w.Write(data)                           // a bytes.Buffer takes all
	_ = w.Close()
	return buf.Bytes()
}

// decompress inflates data. It fails if the result exceeds maxStateBytes.
func decompress(data []byte) ([]byte, error) {
	r := io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxStateBytes+1)
	out, err := io.ReadAll(r)
	if err != nil {
		return nil, errors.Wrap(err, "configuration: inflate state")
	}
	if len(out) > maxStateBytes {
		return nil, errUnusableState
	}
	return out, nil
}
