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

// Key prefixes in the table and the object store.
const (
	// PrefixTimed is the prefix of claims under timed keys, which are version 7
	// UUIDs. These rows sort by the creation times of the keys.
	PrefixTimed = "claim/timed/"
	// PrefixOpaque is the prefix of claims under opaque keys, which have no
	// creation time.
	PrefixOpaque = "claim/opaque/"
	// PrefixAnswer is the prefix of answers in the object store.
	PrefixAnswer = "claim-answer/"
)

// Claim is the stored value of a claim's row.
type Claim struct {
	// Nonce lets the host that made the claim recognize it.
	Nonce string `json:"nonce"`
	// Holder and Incarnation identify the process that may dispatch the request.
	Holder      ident.Host    `json:"holder"`
	Incarnation uint64        `json:"incarnation"`
	Request     ident.Request `json:"request"`
	Fingerprint uint64        `json:"fingerprint"`
	// Created is when the claim was made, in milliseconds of Unix time.
	Created int64 `json:"created_ms"`
	Placement
	// Answer is the final answer, or nil while the request runs.
	Answer *Answer `json:"answer,omitempty"`
}

// Answer is the final answer to a request.
type Answer struct {
	// Code is OK for a complete answer; otherwise it says how the request ended.
	Code result.Code `json:"code"`
	// Status and ContentType are those of the HTTP response.
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body,omitempty"`
	// Object is the key of the stored object that holds a large body.
	Object string `json:"object,omitempty"`
}

// errMalformedRow is returned for a row that is not a claim.
var errMalformedRow = errors.New("claim: malformed row")

// encode returns the value of the claim's row.
func (c Claim) encode() []byte {
	value, err := json.Marshal(c)
	if err != nil {
		panic(err) // unreachable: every field of a Claim encodes
	}
	return value
}

// decode parses the value of a claim's row.
func decode(value []byte) (Claim, error) {
	var c Claim
	if err := json.Unmarshal(value, &c); err != nil {
		return Claim{}, errors.Wrap(errMalformedRow, err.Error())
	}
	if c.Nonce == "" || c.Holder == "" || c.Request == "" {
		return Claim{}, errors.Wrap(errMalformedRow, "no nonce, holder or request")
	}
	return c, nil
}

// rowKey returns the key of the claim's row. It is a hash of team and key,
// because callers choose the keys, and two teams may choose the same one.
func rowKey(req Request) string {
	h := sha256.New()
	h.Write([]byte(req.Team))
	h.Write([]byte{0})
	h.Write([]byte(req.Key))
	hash := hex.EncodeToString(h.Sum(nil))
	if ms, ok := keyTime(req.Key); ok {
		return fmt.Sprintf("%s%0*x-%s", PrefixTimed, timeHexDigits, ms, hash)
	}
	return PrefixOpaque + hash
}

// A version 7 UUID begins with its creation time: 48 bits of milliseconds of
// Unix time.
const (
	uuidLength      = 36
	uuidTimeVersion = 7
	timeBytes       = 6
	timeHexDigits   = 2 * timeBytes
)

// keyTime returns the creation time of a timed key in milliseconds of Unix time.
// It returns false for a key that is not a version 7 UUID in canonical form.
func keyTime(key string) (int64, bool) {
	if len(key) != uuidLength {
		return 0, false
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidTimeVersion || id.Variant() != uuid.RFC4122 {
		return 0, false
	}
	var ms int64
	for _, b := range id[:timeBytes] {
		ms = ms<<8 | int64(b)
	}
	return ms, true
}

// rowTime returns the creation time of the key that a timed row belongs to.
func rowTime(row string) (int64, bool) {
	rest, ok := strings.CutPrefix(row, PrefixTimed)
	if !ok || len(rest) < timeHexDigits {
		return 0, false
	}
	ms, err := strconv.ParseInt(rest[:timeHexDigits], 16, 64)
	return ms, err == nil
}
