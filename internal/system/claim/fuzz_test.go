package claim

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/result"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// FuzzClaimRow checks that any row that decodes has a holder and encodes to the
// same claim again, and that any row gives Lookup one result.
func FuzzClaimRow(f *testing.F) {
	whole := Claim{
		Nonce: "n", Holder: "a", Incarnation: 1, Request: "r", Fingerprint: 7,
		Answer: &Answer{Code: result.OK, Status: 200, Body: []byte("x")},
	}
	f.Add(whole.encode())
	f.Add([]byte(`{"nonce":"n","holder":"a","request":"r","answer":{"object":"o"}}`))
	f.Add([]byte(`{}`))
	f.Add([]byte(`{"nonce":"n","holder":"a","request":"r","fingerprint":-1}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		g := NewWithT(t)
		if c, err := decode(value); err == nil {
			g.Expect(c.Holder).NotTo(BeEmpty())
			again, err := decode(c.encode())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(again.encode()).To(Equal(c.encode()))
		}
		table := newFakeTable()
		s := testSystem("b", Dead)
		req := Request{ID: "r2", Key: "k", Fingerprint: 7}
		table.rows[rowKey(req)] = platform.Row{Key: rowKey(req), Value: value, Version: 1}
		var out system.Outbox
		s.Lookup(0, 0, req, &out)
		if len(s.ops) == 1 && runCalls(s, table, &out) == nil {
			g.Expect(s.ops).To(HaveLen(1), "an answer in a missing object is asked for again")
		}
	})
}

// FuzzKey checks that a timed key's row key carries the key's creation time, and
// that of other keys none.
func FuzzKey(f *testing.F) {
	f.Add("018bcfe5-6800-7000-8000-000000000001")
	f.Add("018bcfe5-6800-4000-8000-000000000001")
	f.Add("")
	f.Fuzz(func(t *testing.T, key string) {
		g := NewWithT(t)
		created, timed := keyTime(key)
		at, ok := rowTime(rowKey(Request{Key: key}))
		g.Expect(ok).To(Equal(timed))
		g.Expect(at).To(Equal(created))
	})
}
