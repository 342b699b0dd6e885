// Package claim provides at-most-once execution for requests that are not
// idempotent. Before a request is dispatched, its host inserts a claim into the
// platform's table: one row under the caller's idempotency key. The final
// answer is stored in the same row and returned to resends of the request.
//
// Invariant: a request is dispatched only by a host that has read its own nonce
// in the row, or whose insert was confirmed by the table. The insert requires
// that there is no row, so at most one host can get there for a key. A claim
// whose request was never dispatched is void at its own host, which removes it.
package claim

import (
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// Liveness is the state of the process that holds a claim, as far as this host
// knows.
type Liveness int

// Values of Liveness.
const (
	// Alive means that the holder is reachable and can be asked for the answer.
	Alive Liveness = iota
	// Unreachable means that the holder can't be reached, but may be running.
	Unreachable
	// Dead means that the holder's process has ended.
	Dead
)

// Config configures a System. It doesn't change during the System's life.
type Config struct {
	// Host and Incarnation identify this process.
	Host        ident.Host
	Incarnation uint64
	// Nonce returns a unique value for a new claim.
	Nonce func() string
	// Liveness returns the state of a claim's holder, as the membership has it.
	Liveness func(host ident.Host, incarnation uint64) Liveness
	// Retention is how long after its creation a timed key can be resent, and
	// how long its claim is kept. The zero value means DefaultRetention.
	Retention time.Duration
	// OpaqueRetention is how long the claim of an opaque key is kept. A resend
	// after that runs again. The zero value keeps such claims for ever.
	OpaqueRetention time.Duration
}

// DefaultRetention is the Retention if none is configured.
const DefaultRetention = 24 * time.Hour

// nonceBytes is the length of a nonce before hex encoding.
const nonceBytes = 16

// NewNonceSource returns a generator of nonces. Every process needs its own
// seed.
func NewNonceSource(seed [32]byte) func() string {
	source := rand.NewChaCha8(seed)
	return func() string {
		var nonce []byte
		for len(nonce) < nonceBytes {
			nonce = binary.LittleEndian.AppendUint64(nonce, source.Uint64())
		}
		return hex.EncodeToString(nonce)
	}
}

// Request describes a request to the claim system.
type Request struct {
	ID   ident.Request
	Team ident.Team
	// Key is the caller's idempotency key as sent, without the team. A key in
	// the form of a version 7 UUID is a timed key, any other an opaque one.
	Key string
	// Fingerprint is the hash of the body.
	Fingerprint uint64
	// FirstAttempt is set if the caller states that it has not sent the key
	// before.
	FirstAttempt bool
}

// Placement is where a granted request is to be dispatched. It is stored in the
// claim, so that another host can resume the answer after the holder's death.
type Placement struct {
	Endpoint ident.Endpoint `json:"endpoint"`
	Attempt  ident.Attempt  `json:"attempt"`
}

// System manages the claims of one host. It is not safe for concurrent use.
type System struct {
	cfg       Config
	nextToken uint64
	// calls maps the token of an outstanding call to the handler of its reply.
	calls map[uint64]replyHandler
	// ops holds the lookups and inserts in progress, one per request.
	ops map[ident.Request]*op
	// held and heldByRow hold the claims of this host's requests, by request
	// and by row key.
	held      map[ident.Request]*heldClaim
	heldByRow map[string]*heldClaim
	// storing is the subset of held whose answers are not in the table yet.
	storing map[ident.Request]*heldClaim
	// unstoredBytes is the total size of the answers that are not in the table yet.
	unstoredBytes int
	// discards holds the claims to be removed, by nonce.
	discards map[string]*discard
	guard    guard
	fence    fence
	sweep    sweep
	results  []Result
}

// replyHandler is told the reply of a call.
type replyHandler interface {
	reply(s *System, now time.Duration, r system.Reply, out *system.Outbox)
}

// New returns a System that holds no claims.
func New(cfg Config) *System {
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	return &System{
		cfg:       cfg,
		calls:     map[uint64]replyHandler{},
		ops:       map[ident.Request]*op{},
		held:      map[ident.Request]*heldClaim{},
		heldByRow: map[string]*heldClaim{},
		storing:   map[ident.Request]*heldClaim{},
		discards:  map[string]*discard{},
	}
}

// Take returns the results since the previous call, in order.
func (s *System) Take() []Result {
	results := s.results
	s.results = nil
	return results
}

// Reply handles the result of a platform call.
func (s *System) Reply(now time.Duration, r system.Reply, out *system.Outbox) {
	c, ok := s.calls[r.Token]
	if !ok {
		return
	}
	delete(s.calls, r.Token)
	c.reply(s, now, r, out)
}

// Tick sends the calls that are due and ends operations past their deadline.
func (s *System) Tick(now time.Duration, out *system.Outbox) {
	s.guard.tick(s, now, out)
	s.fence.tick(s, now, out)
	s.sweep.tick(s, now, out)
	for _, id := range sortedKeys(s.ops) {
		s.ops[id].tick(s, now, out)
	}
	for _, id := range sortedKeys(s.storing) {
		s.storing[id].tick(s, now, out)
	}
	for _, nonce := range sortedKeys(s.discards) {
		s.discards[nonce].tick(s, now, out)
	}
}

// NextWake returns when Tick is next due. It returns false if only a reply or a
// new request can bring work.
func (s *System) NextWake() (time.Duration, bool) {
	var wake earliest
	wake.addTimer(s.guard.timer)
	wake.addTimer(s.fence.timer)
	wake.addTimer(s.sweep.timer)
	for _, o := range s.ops {
		wake.add(o.deadline)
		wake.addTimer(o.timer)
	}
	for _, h := range s.storing {
		wake.addTimer(h.timer)
	}
	for _, d := range s.discards {
		wake.addTimer(d.timer)
	}
	return wake.at, wake.set
}

// Pending returns the number of answers and removals that are not in the table
// yet. A planned shutdown waits until it is 0.
func (s *System) Pending() int {
	return len(s.discards) + len(s.storing)
}

// call sends a call whose reply goes to c.
func (s *System) call(c replyHandler, call system.Call, out *system.Outbox) {
	s.nextToken++
	call.Owner = system.OwnerClaim
	call.Token = s.nextToken
	s.calls[call.Token] = c
	out.Call(call)
}

func (s *System) emit(r Result) {
	s.results = append(s.results, r)
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
