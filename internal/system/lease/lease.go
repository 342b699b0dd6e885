// Package lease holds a lease with a fencing number in one row of the
// platform's table. Hosts need not agree on a clock: a holder counts its term
// from the moment before it sent the write, and another host counts the same
// term from the moment after it read the row, on its own monotonic clock.
package lease

import (
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/ident"
	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// Waits between calls, as parts of the term.
const (
	renewPart = 3
	pollPart  = 4
	retryPart = 16
	// driftPart is the part of the term by which clocks may differ in rate
	// over one term.
	driftPart = 8
)

// Config is fixed for the life of a Lease.
type Config struct {
	// Name is the lease's row after Prefix.
	Name        string
	Host        ident.Host
	Incarnation uint64
	// Owner names the system that the lease's calls belong to.
	Owner system.Owner
	// Term is how long a write holds the lease.
	Term time.Duration
	// Linger is how long after the end of the term work that was started
	// within it may have effect.
	Linger time.Duration
}

// Grant is a lease that is held.
type Grant struct {
	Fence uint64
	// Until is when the term ends, on the host's clock.
	Until time.Duration
	// Since is when the host first knew that it holds the lease.
	Since time.Duration
	// SafeAt is when no work of earlier holders can have effect any more.
	SafeAt time.Duration
}

// Lease is one host's side of a lease. It is not safe for concurrent use.
type Lease struct {
	cfg  Config
	want bool
	// grant is that of the last write known to have taken effect.
	grant Grant
	// version is the version of this host's row; 0 while it isn't known.
	version uint64
	// sent is the last write, at its time of sending; before is the linger of
	// the holder that it took the lease over from.
	sent   Row
	sentAt time.Duration
	before time.Duration
	// seen is the version of another holder's row and when it was first read.
	seen   uint64
	seenAt time.Duration
	// least is the lowest fencing number to take.
	least   uint64
	token   uint64
	busy    bool
	writing bool
	nextAt  time.Duration
}

// New returns a Lease that is not held.
func New(cfg Config) *Lease {
	return &Lease{cfg: cfg}
}

// Held returns the grant if the lease is held at the given time. The caller
// asks right before each act that needs the lease.
func (l *Lease) Held(now time.Duration) (Grant, bool) {
	return l.grant, now < l.grant.Until
}

// SetWanted says whether this host should hold the lease. A lease no longer wanted
// lapses, unless Yield releases it.
func (l *Lease) SetWanted(now time.Duration, want bool) {
	if want && !l.want {
		l.nextAt = now
	}
	l.want = want
}

// RaiseFence has the lease written with a fencing number of at least fence.
func (l *Lease) RaiseFence(now time.Duration, fence uint64) {
	if fence > l.least {
		l.least = fence
		l.nextAt = now
	}
}

// Invalidate ends the grant until the row has been read again.
func (l *Lease) Invalidate(now time.Duration) {
	l.grant.Until = 0
	l.version = 0
	l.nextAt = now
}

// Release releases a held lease at once. The caller has no work left that could
// have effect, and the grant's Quiet has passed.
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

// Tick sends the call that is due.
func (l *Lease) Tick(now time.Duration, out *system.Outbox) {
	if !l.want || l.busy || now < l.nextAt {
		return
	}
	if l.version == 0 {
		l.call(system.Call{Kind: system.CallGet, Key: l.key()}, out)
		return
	}
	l.write(now, l.row(max(l.grant.Fence, l.least)), l.version, out)
}

// NextWake returns when Tick has something to do, if ever.
func (l *Lease) NextWake() (time.Duration, bool) {
	return l.nextAt, l.want && !l.busy
}

// Reply brings the result of a call.
func (l *Lease) Reply(now time.Duration, r system.Reply, out *system.Outbox) {
	if !l.busy || r.Token != l.token {
		return
	}
	l.busy = false
	if l.writing {
		l.writing = false
		l.wrote(now, r)
		return
	}
	l.read(now, r, out)
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

// row returns a row of this host.
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

// write sends a row that replaces the given version.
func (l *Lease) write(now time.Duration, row Row, over uint64, out *system.Outbox) {
	l.writing = true
	l.sent = row
	l.sentAt = now
	l.call(system.Call{Kind: system.CallCommit, Txn: platform.Txn{
		Conditions: []platform.Condition{{Key: l.key(), Version: over}},
		Puts:       []platform.Put{{Key: l.key(), Value: row.encode()}},
	}}, out)
}

// wrote takes the result of a write. A write whose result is unknown is
// settled by reading the row.
func (l *Lease) wrote(now time.Duration, r system.Reply) {
	if r.Err == nil {
		l.confirm(now, r.Version)
		return
	}
	if errors.Is(r.Err, platform.ErrConflict) {
		l.Invalidate(now)
		return
	}
	l.nextAt = now + l.cfg.Term/retryPart
	if !errors.Is(r.Err, platform.ErrUnavailable) && !errors.Is(r.Err, platform.ErrLimited) {
		l.version = 0
	}
}

// confirm takes the last write as in effect. The term runs from its sending.
func (l *Lease) confirm(now time.Duration, version uint64) {
	l.nextAt = l.sentAt + l.cfg.Term/renewPart
	if l.sent.Released {
		l.version = 0
		return
	}
	l.version = version
	if l.sent.Fence != l.grant.Fence {
		l.grant = Grant{Fence: l.sent.Fence, Since: now, SafeAt: now + l.before}
	}
	l.grant.Until = l.sentAt + l.cfg.Term
}

// read decides on the row that was read.
func (l *Lease) read(now time.Duration, r system.Reply, out *system.Outbox) {
	l.nextAt = now + l.cfg.Term/retryPart
	if errors.Is(r.Err, platform.ErrNotFound) {
		l.take(now, Row{LingerMillis: l.cfg.Linger.Milliseconds()}, 0, out)
		return
	}
	if r.Err != nil || len(r.Rows) == 0 {
		return
	}
	row, err := decode(r.Rows[0].Value)
	version := r.Rows[0].Version
	switch {
	case err == nil && row.Released:
		l.take(now, Row{Fence: row.Fence}, version, out)
	case err == nil && row == l.sent:
		l.confirm(now, version)
	case err == nil && row.Holder == l.cfg.Host && row.Incarnation == l.cfg.Incarnation:
		// An earlier write of this process stands; nobody else has acted.
		l.write(now, l.row(max(row.Fence, l.least)), version, out)
	default:
		l.await(now, row, version, out)
	}
}

// await takes the lease over once the row has stood for its term. A malformed
// row, whose holder can't be told, stands for this host's own term.
func (l *Lease) await(now time.Duration, row Row, version uint64, out *system.Outbox) {
	if version != l.seen {
		l.seen = version
		l.seenAt = now
	}
	term := max(row.term(), l.cfg.Term)
	lapsed := l.seenAt + term + term/driftPart
	if now < lapsed {
		l.nextAt = min(lapsed, now+l.cfg.Term/pollPart)
		return
	}
	row.LingerMillis = max(row.LingerMillis, l.cfg.Linger.Milliseconds())
	l.take(now, row, version, out)
}

// take writes the lease over the row of the holder before.
func (l *Lease) take(now time.Duration, before Row, version uint64, out *system.Outbox) {
	l.before = before.linger()
	l.write(now, l.row(max(before.Fence+1, l.least)), version, out)
}
