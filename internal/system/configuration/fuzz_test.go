package configuration

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
	"github.com/trefoilchute/trefoilchute/internal/resource"
)

// FuzzState feeds arbitrary data as a state from another host. A state that can be
// decoded must have the revision given in its message.
func FuzzState(f *testing.F) {
	current := resource.NewSnapshot()
	current.Revision = 3
	whole, err := encodeState(nil, current)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(uint64(0), uint64(3), whole.Encoded)
	f.Add(uint64(3), uint64(4), compress([]byte(`{"base":3,"revision":4,"items":[{"kind":"tier","name":"gold","deleted":true}]}`)))
	f.Add(uint64(3), uint64(4), []byte("no deflate"))
	f.Fuzz(func(t *testing.T, base, revision uint64, data []byte) {
		next, err := decodeState(current, &peerpb.ConfigState{Base: base, Revision: revision, Encoded: data})
		if err == nil {
			NewWithT(t).Expect(next.Revision).To(Equal(revision))
		}
	})
}

func TestStateOverTheSizeLimitIsRefused(t *testing.T) {
	g := NewWithT(t)
	_, err := decompress(compress(make([]byte, maxStateBytes+1)))
	g.Expect(err).To(MatchError(errUnusableState))
}
