// Package lease implements a lease with a fencing token, stored in one row of the
// platform's table. It needs no synchronized clocks: the holder measures its term
// from before it sent the write, and any other host measures the same term from
// after it read the row, each on its own monotonic clock.
package lease

import (
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// Delays between calls, as the term divided by a number.
const (
	renewDivisor = 3
	pollDivisor  = 4
	retryDivisor = 16
	// driftDivisor gives the part of the term by which the clocks of two hosts may
	// drift apart over one term.
	driftDivisor = 8
)

// Config is fixed for the life of a Lease.
type Config struct {
	// Name is the key of the lease's row, without Prefix.
	Name        string
	Host        ident.Host
	Incarnation uint64
	// Owner is the system that the lease's calls are made for.
	Owner system.Owner
	// Term is how long the lease is held after a write.
	Term time.Duration
	// Linger is how long after the end of the term work started within it may
	// still take effect.
	Linger time.Duration
}

// Grant describes a lease that is held.
type Grant struct {
	// Fence is the fencing token.
	Fence uint64
	// Until is when the term ends, on the host's clock.
	Until time.Duration
	// Since is when the host learned that it holds the lease.
	Since time.Duration
	// SafeAt is when work of earlier holders can no longer take effect.
	SafeAt time.Duration
}

// Lease is a host's handle of a lease. It is not safe for concurrent use.
type Lease struct {
	cfg  Config
	want bool
	// grant results from the last write known to have taken effect.
	grant Grant
	// version is the version of this host's row; 0 if unknown.
	version uint64
	// sent is the last row written, sentAt the time when the write was sent, and
	// priorLinger the linger of the holder whose row it replaced.
	sent        Row
	sentAt      time.Duration
	priorLinger time.Duration
	// seenVersion is the version of another holder's row, seenAt the time when it
	// was first read.
	seenVersion uint64
	seenAt      time.Duration
	// minFence is the lowest fencing token to write.
	minFence uint64
	token    uint64
	busy     bool
	writing  bool
	nextAt   time.Duration
}

// New returns a Lease that is not held.
func New(cfg Config) *Lease {
	return &Lease{cfg: cfg}
}

// Held returns the grant and reports whether the lease is held at the given time.
// The caller checks right before each action that needs the lease.
func (l *Lease) Held(now time.Duration) (Grant, bool) {
	return l.grant, now < l.grant.Until
}

// SetWanted sets whether this host should hold the lease. A lease that is no longer
// wanted expires unless Release ends it earlier.
func (l *Lease) SetWanted(now time.Duration, want bool) {
	if want && !l.want {
		l.nextAt = now
	}
	l.want = want
}

// RaiseFence makes the next write use a fencing token of at least fence.
func (l *Lease) RaiseFence(now time.Duration, fence uint64) {
	if fence > l.minFence {
		l.minFence = fence
		l.nextAt = now
	}
}

// Invalidate ends the grant until the row has been read again.
func (l *Lease) Invalidate(now time.Duration) {
	l.grant.Until = 0
	l.version = 0
	l.nextAt = now
}

// Release gives up a held lease at once. The caller must have no work left that could
// take effect, and the grant's SafeAt must have passed.
func (l *Lease) Release(now time.Duration, out *system.Outbox) {
	if _, held := l.Held(now); !held || l.busy || l.version == 0 {
		return
	}
	row := l.row(l.grant.Fence)
	row.Released = true
	l.write(now, row, l.version, out)
	l.grant.Until = 0
	l.version = 0
}

// Tick sends the next call if it is due.
func (l *Lease) Tick(now time.Duration, out *system.Outbox) {
	if !l.want || l.busy || now < l.nextAt {
		return
	}
	if l.version == 0 {
		l.call(system.Call{Kind: system.CallGet, Key: l.key()}, out)
		return
	}
	l.write(now, l.row(max(l.grant.Fence, l.minFence)), l.version, out)
}

// NextWake returns when Tick is next due, and false if it isn't.
func (l *Lease) NextWake() (time.Duration, bool) {
	return l.nextAt, l.want && !l.busy
}

// Reply handles the result of a call.
func (l *Lease) Reply(now time.Duration, r system.Reply, out *system.Outbox) {
	if !l.busy || r.Token != l.token {
		return
	}
	l.busy = false
	if l.writing {
		l.writing = false
		l.onWritten(now, r)
		return
	}
	l.onRead(now, r, out)
}

func (l *Lease) key() string {
	return Prefix + l.cfg.Name
}

func (l *Lease) call(c system.Call, out *system.Outbox) {
	l.token++
	l.busy = true
	c.Owner = l.cfg.Owner
	c.Token = l.token
	out.Call(c)
}

// row returns a row that makes this host the holder.
func (l *Lease) row(fence uint64) Row {
	return Row{
		Holder:       l.cfg.Host,
		Incarnation:  l.cfg.Incarnation,
		Fence:        fence,
		Count:        l.sent.Count + 1,
		TermMillis:   l.cfg.Term.Milliseconds(),
		LingerMillis: l.cfg.Linger.Milliseconds(),
	}
}

// write sends a conditional write of a row over the given version.
func (l *Lease) write(now time.Duration, row Row, over uint64, out *system.Outbox) {
	l.writing = true
	l.sent = row
	l.sentAt = now
	l.call(system.Call{Kind: system.CallCommit, Txn: platform.Txn{
		Conditions: []platform.Condition{{Key: l.key(), Version: over}},
		Puts:       []platform.Put{{Key: l.key(), Value: row.encode()}},
	}}, out)
}

// onWritten handles the result of a write. If the result is ambiguous, the row is read
// to settle it.
func (l *Lease) onWritten(now time.Duration, r system.Reply) {
	if r.Err == nil {
		l.confirm(now, r.Version)
		return
	}
	if errors.Is(r.Err, platform.ErrConflict) {
		l.Invalidate(now)
		return
	}
	l.nextAt = now + l.cfg.Term/retryDivisor
	if !errors.Is(r.Err, platform.ErrUnavailable) && !errors.Is(r.Err, platform.ErrLimited) {
		l.version = 0
	}
}

// confirm records that the last write took effect. The term starts when the write
// was sent.
func (l *Lease) confirm(now time.Duration, version uint64) {
	l.nextAt = l.sentAt + l.cfg.Term/renewDivisor
	if l.sent.Released {
		l.version = 0
		return
	}
	l.version = version
	if l.sent.Fence != l.grant.Fence {
		l.grant = Grant{Fence: l.sent.Fence, Since: now, SafeAt: now + l.priorLinger}
	}
	l.grant.Until = l.sentAt + l.cfg.Term
}

// onRead acts on the row that was read.
func (l *Lease) onRead(now time.Duration, r system.Reply, out *system.Outbox) {
	l.nextAt = now + l.cfg.Term/retryDivisor
	if errors.Is(r.Err, platform.ErrNotFound) {
		l.acquire(now, Row{LingerMillis: l.cfg.Linger.Milliseconds()}, 0, out)
		return
	}
	if r.Err != nil || len(r.Rows) == 0 {
		return
	}
	row, err := decode(r.Rows[0].Value)
	version := r.Rows[0].Version
	switch {
	case err == nil && row.Released:
		l.acquire(now, Row{Fence: row.Fence}, version, out)
	case err == nil && row == l.sent:
		l.confirm(now, version)
	case err == nil && row.Holder == l.cfg.Host && row.Incarnation == l.cfg.Incarnation:
		// An earlier write of this process is in effect, and no other host has
		// written since.
		l.write(now, l.row(max(row.Fence, l.minFence)), version, out)
	default:
		l.awaitExpiry(now, row, version, out)
	}
}

// awaitExpiry takes the lease over once the row has been unchanged for its term. A
// malformed row, whose holder is unknown, is waited for as long as this host's term.
func (l *Lease) awaitExpiry(now time.Duration, row Row, version uint64, out *system.Outbox) {
	if version != l.seenVersion {
		l.seenVersion = version
		l.seenAt = now
	}
	term := max(row.term(), l.cfg.Term)
	expiresAt := l.seenAt + term + term/driftDivisor
	if now < expiresAt {
		l.nextAt = min(expiresAt, now+l.cfg.Term/pollDivisor)
		return
	}
	row.LingerMillis = max(row.LingerMillis, l.cfg.Linger.Milliseconds())
	l.acquire(now, row, version, out)
}

// acquire writes this host's row over the prior holder's.
func (l *Lease) acquire(now time.Duration, prior Row, version uint64, out *system.Outbox) {
	l.priorLinger = prior.linger()
	l.write(now, l.row(max(prior.Fence+1, l.minFence)), version, out)
}
