package fingerprint

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestDifferentRequestsHaveDifferentFingerprints moves bytes between the parts of a request,
// which must change its fingerprint.
func TestDifferentRequestsHaveDifferentFingerprints(t *testing.T) {
	g := NewWithT(t)
	seen := map[uint64]bool{}
	for _, f := range []uint64{
		Of(nil), Of([]byte("ab")), Of([]byte("b"), "a"), Of(nil, "ab"), Of(nil, "a", "b"), Of(nil, "b", "a"), Of([]byte("b"), "a", ""),
	} {
		seen[f] = true
	}
	g.Expect(seen).To(HaveLen(7))
	g.Expect(Of([]byte("body"), "team", "/path")).To(Equal(Of([]byte("body"), "team", "/path")))
}
