package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/peer/peerpb"
)

// Sizes of a Hello's fields.
const (
	nonceBytes   = 32
	maxNameBytes = 255
)

// role tells the two sides of a link apart in their proofs, so that a proof
// can't be reflected to the side that made it.
type role string

// Sides of a link.
const (
	roleDialer   role = "dialer"
	roleAcceptor role = "acceptor"
)

// Errors of the handshake.
var (
	errProof     = errors.New("peer: the shared secret was not proved")
	errMalformed = errors.New("peer: malformed hello")
	errWrongHost = errors.New("peer: another host answered")
	errSelf      = errors.New("peer: the host reached itself")
)

// batchStream is what both ends of the generated stream offer.
type batchStream interface {
	Send(*peerpb.Batch) error
	Recv() (*peerpb.Batch, error)
}

// newNonce returns fresh random bytes.
func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // never fails, by the documentation of crypto/rand
	return nonce
}

// checkHello tests the shape of a received Hello. It says nothing of its proof.
func checkHello(h *peerpb.Hello) error {
	switch {
	case h == nil,
		h.Host == "", len(h.Host) > maxNameBytes,
		h.Domain == "", len(h.Domain) > maxNameBytes,
		len(h.Nonce) != nonceBytes:
		return errMalformed
	}
	return nil
}

// prove returns the proof of the prover's side: an HMAC over its role, both
// identities and both nonces. Each field is preceded by its length, so that no
// two sets of fields have the same bytes.
func prove(secret []byte, prover role, own, other *peerpb.Hello) []byte {
	mac := hmac.New(sha256.New, secret)
	field := func(b []byte) {
		_, _ = mac.Write(binary.AppendUvarint(nil, uint64(len(b))))
		_, _ = mac.Write(b)
	}
	field([]byte("trefoilchute peer v1"))
	field([]byte(prover))
	for _, h := range []*peerpb.Hello{own, other} {
		field([]byte(h.Host))
		field([]byte(h.Domain))
		field(binary.BigEndian.AppendUint64(nil, h.Incarnation))
		field(h.Nonce)
	}
	return mac.Sum(nil)
}

// checkProof tests a proof in constant time.
func checkProof(secret []byte, prover role, theirs, ours *peerpb.Hello) error {
	if !hmac.Equal(theirs.Proof, prove(secret, prover, theirs, ours)) {
		return errProof
	}
	return nil
}

// hello returns this host's Hello with a fresh nonce and no proof.
func (t *Transport) hello() *peerpb.Hello {
	return &peerpb.Hello{
		Host:        string(t.opts.Host),
		Incarnation: t.opts.Incarnation,
		Domain:      string(t.opts.Domain),
		Nonce:       newNonce(),
	}
}

// greetAsDialer runs the dialling side: it sends a nonce, checks the other
// side's proof, and only then gives its own.
func (t *Transport) greetAsDialer(s batchStream) (Contact, error) {
	ours := t.hello()
	if err := sendHello(s, ours); err != nil {
		return Contact{}, err
	}
	theirs, err := recvHello(s)
	if err != nil {
		return Contact{}, err
	}
	if err := checkProof(t.opts.Secret, roleAcceptor, theirs, ours); err != nil {
		return Contact{}, err
	}
	ours.Proof = prove(t.opts.Secret, roleDialer, ours, theirs)
	if err := sendHello(s, ours); err != nil {
		return Contact{}, err
	}
	return t.contact(theirs)
}

// greetAsAcceptor runs the accepting side.
func (t *Transport) greetAsAcceptor(s batchStream) (Contact, error) {
	first, err := recvHello(s)
	if err != nil {
		return Contact{}, err
	}
	ours := t.hello()
	ours.Proof = prove(t.opts.Secret, roleAcceptor, ours, first)
	if err := sendHello(s, ours); err != nil {
		return Contact{}, err
	}
	second, err := recvHello(s)
	if err != nil {
		return Contact{}, err
	}
	// The proof is made over the first Hello's fields: a second one that names
	// another host doesn't verify.
	first.Proof = second.Proof
	if err := checkProof(t.opts.Secret, roleDialer, first, ours); err != nil {
		return Contact{}, err
	}
	return t.contact(first)
}

// contact turns a proved Hello into a Contact.
func (t *Transport) contact(h *peerpb.Hello) (Contact, error) {
	if h.Host == string(t.opts.Host) {
		return Contact{}, errSelf
	}
	return Contact{
		Host:        ident.Host(h.Host),
		Incarnation: h.Incarnation,
		Domain:      ident.Domain(h.Domain),
	}, nil
}

// sendHello writes a Hello in a batch of its own.
func sendHello(s batchStream, h *peerpb.Hello) error {
	envelope := &peerpb.Envelope{Body: &peerpb.Envelope_Hello{Hello: h}}
	batch := &peerpb.Batch{Messages: []*peerpb.Envelope{envelope}}
	return errors.Wrap(s.Send(batch), "peer: sending hello")
}

// recvHello reads a batch that must hold one well-formed Hello.
func recvHello(s batchStream) (*peerpb.Hello, error) {
	batch, err := s.Recv()
	if err != nil {
		return nil, errors.Wrap(err, "peer: reading hello")
	}
	return helloOf(batch)
}

// helloOf returns the only message of a batch as a Hello.
func helloOf(batch *peerpb.Batch) (*peerpb.Hello, error) {
	if len(batch.Messages) != 1 {
		return nil, errMalformed
	}
	h := batch.Messages[0].GetHello()
	if err := checkHello(h); err != nil {
		return nil, err
	}
	return h, nil
}
