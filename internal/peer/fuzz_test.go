package peer

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
)

// encoded returns a batch of envelopes as bytes.
func encoded(f *testing.F, envelopes ...*peerpb.Envelope) []byte {
	data, err := proto.Marshal(&peerpb.Batch{Messages: envelopes})
	if err != nil {
		f.Fatal(err)
	}
	return data
}

// FuzzHello feeds anything as a Hello: what passes has the right shape, and
// proves nothing without the secret.
func FuzzHello(f *testing.F) {
	good := &peerpb.Hello{Host: "a", Domain: "d", Incarnation: 1, Nonce: make([]byte, nonceBytes)}
	f.Add(encoded(f, &peerpb.Envelope{Body: &peerpb.Envelope_Hello{Hello: good}}))
	f.Add(encoded(f, ping(1)))
	f.Add([]byte{0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		var batch peerpb.Batch
		if proto.Unmarshal(data, &batch) != nil {
			return
		}
		h, err := helloOf(&batch)
		if err != nil {
			return
		}
		g.Expect(h.Nonce).To(HaveLen(nonceBytes))
		g.Expect(h.Host).NotTo(BeEmpty())
		for _, prover := range []role{roleDialer, roleAcceptor} {
			g.Expect(checkProof([]byte("secret"), prover, h, good)).To(MatchError(errProof))
		}
	})
}

// FuzzBatch feeds anything as a batch of an open link: what passes names the
// link's host as its only sender.
func FuzzBatch(f *testing.F) {
	forged := ping(1)
	forged.From = "b"
	f.Add(encoded(f, ping(1), ping(2)))
	f.Add(encoded(f, forged))
	f.Add(encoded(f, &peerpb.Envelope{Body: &peerpb.Envelope_Hello{Hello: &peerpb.Hello{}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		var batch peerpb.Batch
		if proto.Unmarshal(data, &batch) != nil || checkBatch(&batch, Contact{Host: "a", Incarnation: 3}) != nil {
			return
		}
		for _, m := range batch.Messages {
			g.Expect(m.From).To(Equal("a"))
			g.Expect(m.Incarnation).To(Equal(uint64(3)))
			g.Expect(m.GetHello()).To(BeNil())
		}
	})
}

// TestProofBindsEverything changes each part of a handshake: no proof stands
// for another.
func TestProofBindsEverything(t *testing.T) {
	g := NewWithT(t)
	hello := func(host string) *peerpb.Hello {
		return &peerpb.Hello{Host: host, Domain: "d", Incarnation: 1, Nonce: bytes.Repeat([]byte(host[:1]), nonceBytes)}
	}
	secret := []byte("secret")
	seen := map[string]string{}
	note := func(what string, proof []byte) {
		g.Expect(seen).NotTo(HaveKey(string(proof)), what)
		seen[string(proof)] = what
	}
	note("base", prove(secret, roleDialer, hello("a"), hello("b")))
	note("secret", prove([]byte("other"), roleDialer, hello("a"), hello("b")))
	note("role", prove(secret, roleAcceptor, hello("a"), hello("b")))
	note("direction", prove(secret, roleDialer, hello("b"), hello("a")))
	for what, change := range map[string]func(*peerpb.Hello){
		"host":        func(h *peerpb.Hello) { h.Host = "ad" },
		"domain":      func(h *peerpb.Hello) { h.Domain = "e" },
		"incarnation": func(h *peerpb.Hello) { h.Incarnation = 2 },
		"nonce":       func(h *peerpb.Hello) { h.Nonce[0]++ },
		"shift":       func(h *peerpb.Hello) { h.Host, h.Domain = "ad", "" },
	} {
		own, other := hello("a"), hello("b")
		change(own)
		note("own "+what, prove(secret, roleDialer, own, hello("b")))
		change(other)
		note("other "+what, prove(secret, roleDialer, hello("a"), other))
	}
}

func TestBackoffIsBounded(t *testing.T) {
	g := NewWithT(t)
	transport, err := New(Options{Host: "a", Domain: "d", Secret: []byte("s"), Deliver: func(*peerpb.Envelope) {}})
	g.Expect(err).NotTo(HaveOccurred())
	for failures := 1; failures < 100; failures++ {
		wait := transport.backoff(failures)
		g.Expect(wait).To(BeNumerically(">=", DefaultBackoffMin/2))
		g.Expect(wait).To(BeNumerically("<=", DefaultBackoffMax))
	}
}
