package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/result"
)

// Prefixes of the rows and objects of claims.
const (
	// PrefixTimed holds the claims under keys that are version 7 UUIDs. The
	// rows sort by the creation times of the keys.
	PrefixTimed = "claim/timed/"
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
	hash := hex.EncodeToString(h.Sum(nil))
	if ms, ok := keyTime(req.Key); ok {
		return fmt.Sprintf("%s%0*x-%s", PrefixTimed, timeDigits, ms, hash)
	}
	return PrefixOpaque + hash
}

// A version 7 UUID begins with its creation time: 48 bits of milliseconds.
const (
	uuidLength = 36
	uuidTimed  = 7
	timeBytes  = 6
	timeDigits = 2 * timeBytes
)

// keyTime returns the creation time, in milliseconds of Unix time, of a key
// that is a version 7 UUID in its usual form. Other keys have none.
func keyTime(key string) (int64, bool) {
	if len(key) != uuidLength {
		return 0, false
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidTimed || id.Variant() != uuid.RFC4122 {
		return 0, false
	}
	var ms int64
	for _, b := range id[:timeBytes] {
		ms = ms<<8 | int64(b)
	}
	return ms, true
}

// rowTime returns the creation time of the key behind a timed row.
func rowTime(row string) (int64, bool) {
	rest, ok := strings.CutPrefix(row, PrefixTimed)
	if !ok || len(rest) < timeDigits {
		return 0, false
	}
	ms, err := strconv.ParseInt(rest[:timeDigits], 16, 64)
	return ms, err == nil
}
