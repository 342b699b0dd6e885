package claim

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// PrefixGuard is the key prefix of the guard rows, one for each host.
const PrefixGuard = "claim-guard/"

// Retry delays of the guard row's reads and writes, and of the fence's reads.
const (
	guardFirstRetry = 50 * time.Millisecond
	guardLastRetry  = time.Second
)

// guard tracks this host's guard row. Every insert of a claim is conditional on
// the row's version, so writing the row makes all inserts in flight fail. A
// read after that write shows conclusively whether an insert whose reply was
// lost took effect.
type guard struct {
	// version is the row's version; 0 while it is unknown or being changed.
	version uint64
	// lastWritten is the value of this process's last write.
	lastWritten guardRow
	// minCount is the lowest acceptable count. A row with the value of an earlier
	// write of this process is rewritten.
	minCount uint64
	// callPending is set while a call is in flight, writePending if it is a write.
	callPending  bool
	writePending bool
	tries        int
	timer        timer
}

// guardRow is the stored value of a guard row.
type guardRow struct {
	Incarnation uint64 `json:"incarnation"`
	// Count distinguishes the writes of one incarnation.
	Count uint64 `json:"count"`
}

// ensureKnown starts a read of the row if its version isn't known.
func (g *guard) ensureKnown(s *System, out *system.Outbox) {
	if g.version == 0 && !g.callPending && !g.timer.set {
		g.read(s, out)
	}
}

// reread invalidates the row's version and reads it again.
func (g *guard) reread(s *System, out *system.Outbox) {
	g.version = 0
	g.ensureKnown(s, out)
}

// rewrite rewrites the row, which invalidates all inserts in flight. A write
// already in flight serves as well, since no insert was sent after it.
func (g *guard) rewrite(s *System, out *system.Outbox) {
	if !g.writePending {
		g.minCount = g.lastWritten.Count + 1
	}
	g.reread(s, out)
}

func (g *guard) key(s *System) string {
	return PrefixGuard + string(s.cfg.Host)
}

func (g *guard) read(s *System, out *system.Outbox) {
	g.callPending = true
	s.call(g, system.Call{Kind: system.CallGet, Key: g.key(s)}, out)
}

// write writes the row, on the condition that it has the given version.
func (g *guard) write(s *System, overVersion uint64, out *system.Outbox) {
	g.callPending = true
	g.writePending = true
	g.lastWritten = guardRow{Incarnation: s.cfg.Incarnation, Count: g.lastWritten.Count + 1}
	value, err := json.Marshal(g.lastWritten)
	if err != nil {
		panic(err) // unreachable: two integers always encode
	}
	s.call(g, system.Call{Kind: system.CallCommit, Txn: platform.Txn{
		Conditions: []platform.Condition{{Key: g.key(s), Version: overVersion}},
		Puts:       []platform.Put{{Key: g.key(s), Value: value}},
	}}, out)
}

func (g *guard) tick(s *System, now time.Duration, out *system.Outbox) {
	if g.timer.fire(now) {
		g.ensureKnown(s, out)
	}
}

func (g *guard) reply(s *System, now time.Duration, r system.Reply, out *system.Outbox) {
	wrote := g.writePending
	g.callPending = false
	g.writePending = false
	switch {
	case wrote && r.Err == nil:
		g.setVersion(s, r.Version, out)
	case wrote:
		g.retry(now) // the next read shows whether the write took effect
	case errors.Is(r.Err, platform.ErrNotFound):
		g.write(s, 0, out)
	case r.Err != nil || len(r.Rows) == 0:
		g.retry(now)
	default:
		g.handleRow(s, now, r.Rows[0], out)
	}
}

// handleRow accepts a row that was read, or rewrites it.
func (g *guard) handleRow(s *System, now time.Duration, row platform.Row, out *system.Outbox) {
	var value guardRow
	err := json.Unmarshal(row.Value, &value)
	switch {
	case err == nil && value.Incarnation > s.cfg.Incarnation:
		// A newer process runs under this host's name; this one makes no more
		// claims.
		g.retry(now)
	case err == nil && value == g.lastWritten && value.Count >= g.minCount:
		g.setVersion(s, row.Version, out)
	default:
		g.write(s, row.Version, out)
	}
}

// setVersion sets the version of a row that this process wrote, and sends the
// calls that waited for it.
func (g *guard) setVersion(s *System, version uint64, out *system.Outbox) {
	g.tries = 0
	g.version = version
	s.resumeWaiting(out)
}

func (g *guard) retry(now time.Duration) {
	g.timer.start(now + backoff(guardFirstRetry, guardLastRetry, g.tries))
	g.tries++
}
