// Package claim makes a request that is not idempotent run at most once. Before
// the request is dispatched its host inserts a claim, one row under the
// caller's idempotency key, into the platform's table; the final answer is kept
// in the same row, so that a resend gets it.
//
// The invariant is: a request is dispatched only by a host that has read its
// own nonce in the row, or was told by the table that its insert took effect.
// The insert is conditional on there being no row, so that one host at most
// sees that for one key. A claim that was never dispatched counts for nothing
// at its own host, which removes it.
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

// Liveness is what a host knows of the process that holds a claim.
type Liveness int

// Values of Liveness.
const (
	// Alive means that the holder can be asked for the answer.
	Alive Liveness = iota
	// Unreachable means that the holder can't be asked, but may be running.
	Unreachable
	// Dead means that the holder's process has ended.
	Dead
)

// Config is fixed for the life of a System.
type Config struct {
	// Host and Incarnation identify this process.
	Host        ident.Host
	Incarnation uint64
	// Nonce returns a value that no other claim has.
	Nonce func() string
	// Liveness looks the holder of a claim up in the membership's tables.
	Liveness func(host ident.Host, incarnation uint64) Liveness
	// Retention is how long after its creation a timed key can be sent again,
	// and its claim is kept; 0: DefaultRetention.
	Retention time.Duration
	// OpaqueRetention is how long the claim of another key is kept; 0: for
	// ever. A resend after that runs again.
	OpaqueRetention time.Duration
}

// DefaultRetention is the Retention of a deployment that states none.
const DefaultRetention = 24 * time.Hour

// nonceBytes is the length of a nonce before it is written in hex.
const nonceBytes = 16

// NewNonceSource returns a source of nonces from a seed. Processes need different
// seeds.
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

// Request is what the claims need to know of one request.
type Request struct {
	ID   ident.Request
	Team ident.Team
	// Key is the caller's idempotency key as it was sent, without the team. A
	// version 7 UUID is known by its form.
	Key string
	// Fingerprint is the hash of the body.
	Fingerprint uint64
	// FirstAttempt says that the caller has not sent the key before.
	FirstAttempt bool
}

// Placement is where a granted request is to be dispatched. It is kept in the
// claim, so that another host can resume the answer of a dead holder.
type Placement struct {
	Endpoint ident.Endpoint `json:"endpoint"`
	Attempt  ident.Attempt  `json:"attempt"`
}

// System holds the claims of one host. It is not safe for concurrent use.
type System struct {
	cfg       Config
	nextToken uint64
	// calls finds the owner of an outstanding call.
	calls map[uint64]caller
	// ops holds the reads and inserts under way, one for each request.
	ops map[ident.Request]*op
	// held holds the claims of this host's requests by request and by row.
	held    map[ident.Request]*held
	heldRow map[string]*held
	// storing holds those of held whose answer the table lacks.
	storing map[ident.Request]*held
	// unstored is the size in bytes of the answers that the table lacks.
	unstored int
	// discards holds the claims that are to be removed, by nonce.
	discards map[string]*discard
	guard    guard
	fence    fence
	sweep    sweep
	results  []Result
}

// caller is told the reply of a call.
type caller interface {
	reply(s *System, now time.Duration, r system.Reply, out *system.Outbox)
}

// New returns a System without claims.
func New(cfg Config) *System {
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	return &System{
		cfg:      cfg,
		calls:    map[uint64]caller{},
		ops:      map[ident.Request]*op{},
		held:     map[ident.Request]*held{},
		heldRow:  map[string]*held{},
		storing:  map[ident.Request]*held{},
		discards: map[string]*discard{},
	}
}

// Take returns the results since the last Take, in order.
func (s *System) Take() []Result {
	results := s.results
	s.results = nil
	return results
}

// Reply brings the result of a platform call.
func (s *System) Reply(now time.Duration, r system.Reply, out *system.Outbox) {
	c, ok := s.calls[r.Token]
	if !ok {
		return
	}
	delete(s.calls, r.Token)
	c.reply(s, now, r, out)
}

// Tick sends the calls that are due and gives up those that took too long.
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

// NextWake returns when Tick has something to do. It is false when only
// replies and new requests can bring work.
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

// Pending returns how many answers and removals the table has yet to take. A
// planned stop waits until it is 0.
func (s *System) Pending() int {
	return len(s.discards) + len(s.storing)
}

// call sends a call on behalf of c and returns its token.
func (s *System) call(c caller, call system.Call, out *system.Outbox) {
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
