package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// Prefixes of the rows and objects of claims.
const (
	// PrefixOpaque holds the claims under keys that tell no creation time.
	PrefixOpaque = "claim/opaque/"
	// PrefixAnswer holds answers in the object store.
	PrefixAnswer = "claim-answer/"
)

// Claim is the value of a claim's row.
type Claim struct {
	// Nonce tells the claimer which insert this is.
	Nonce string `json:"nonce"`
	// Holder and Incarnation are the process that may dispatch the request.
	Holder      ident.Host    `json:"holder"`
	Incarnation uint64        `json:"incarnation"`
	Request     ident.Request `json:"request"`
	Fingerprint uint64        `json:"fingerprint"`
	// Created is when the claim was made, in milliseconds of Unix time.
	Created int64 `json:"created_ms"`
	Placement
	// Answer is the final answer; nil while the request runs.
	Answer *Answer `json:"answer,omitempty"`
}

// Answer is the final answer to a request.
type Answer struct {
	// Code is OK for a whole answer, and otherwise says how the request ended.
	Code result.Code `json:"code"`
	// Status and ContentType are those of the HTTP answer.
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body,omitempty"`
	// Object is the key of the object that holds the body of a large answer.
	Object string `json:"object,omitempty"`
}

// errClaim says that a row is not a claim.
var errClaim = errors.New("claim: malformed row")

// encode returns the value of the claim's row.
func (c Claim) encode() []byte {
	value, err := json.Marshal(c)
	if err != nil {
		panic(err) // no field of a Claim can fail to encode
	}
	return value
}

// decode reads the value of a claim's row.
func decode(value []byte) (Claim, error) {
	var c Claim
	if err := json.Unmarshal(value, &c); err != nil {
		return Claim{}, errors.Wrap(errClaim, err.Error())
	}
	if c.Nonce == "" || c.Holder == "" || c.Request == "" {
		return Claim{}, errors.Wrap(errClaim, "no nonce, holder or request")
	}
	return c, nil
}

// rowKey returns the key of the claim's row: a hash, because callers choose
// the keys, and two teams may choose the same one.
func rowKey(req Request) string {
	h := sha256.New()
	h.Write([]byte(req.Team))
	h.Write([]byte{0})
	h.Write([]byte(req.Key))
	return PrefixOpaque + hex.EncodeToString(h.Sum(nil))
}
