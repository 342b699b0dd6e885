package claim

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// PrefixGuard holds one guard row for each host.
const PrefixGuard = "claim-guard/"

// Bounds of reading and writing the guard row.
const (
	guardFirstRetry = 50 * time.Millisecond
	guardLastRetry  = time.Second
)

// guard is this host's guard row. Every insert of a claim is conditional on
// the row's version, so that writing the row makes all inserts that are still
// on their way fail: a read that follows the write settles for good whether a
// lost insert took effect.
type guard struct {
	// version is the row's version; 0 while it isn't known or is being changed.
	version uint64
	// written is the value that the last write of this process carried.
	written guardRow
	// least is the lowest count of a write that will do: a row of an earlier
	// write of this process is written anew.
	least uint64
	// busy says that a call is out; writing that it is the write.
	busy    bool
	writing bool
	tries   int
	timer   timer
}

// guardRow is the value of a guard row.
type guardRow struct {
	Incarnation uint64 `json:"incarnation"`
	// Count tells the writes of one incarnation apart.
	Count uint64 `json:"count"`
}

// want has the row's version found out, if it isn't known.
func (g *guard) want(s *System, out *system.Outbox) {
	if g.version == 0 && !g.busy && !g.timer.set {
		g.read(s, out)
	}
}

// check has the row's version found out anew.
func (g *guard) check(s *System, out *system.Outbox) {
	g.version = 0
	g.want(s, out)
}

// renew has the row written, which ends all inserts on their way. A write that
// is out already does so too, since no insert was sent after it.
func (g *guard) renew(s *System, out *system.Outbox) {
	if !g.writing {
		g.least = g.written.Count + 1
	}
	g.check(s, out)
}

func (g *guard) key(s *System) string {
	return PrefixGuard + string(s.cfg.Host)
}

func (g *guard) read(s *System, out *system.Outbox) {
	g.busy = true
	s.call(g, system.Call{Kind: system.CallGet, Key: g.key(s)}, out)
}

// write writes the row over the given version.
func (g *guard) write(s *System, over uint64, out *system.Outbox) {
	g.busy = true
	g.writing = true
	g.written = guardRow{Incarnation: s.cfg.Incarnation, Count: g.written.Count + 1}
	value, err := json.Marshal(g.written)
	if err != nil {
		panic(err) // two numbers always encode
	}
	s.call(g, system.Call{Kind: system.CallCommit, Txn: platform.Txn{
		Conditions: []platform.Condition{{Key: g.key(s), Version: over}},
		Puts:       []platform.Put{{Key: g.key(s), Value: value}},
	}}, out)
}

func (g *guard) tick(s *System, now time.Duration, out *system.Outbox) {
	if g.timer.fire(now) {
		g.want(s, out)
	}
}

func (g *guard) reply(s *System, now time.Duration, r system.Reply, out *system.Outbox) {
	wrote := g.writing
	g.busy = false
	g.writing = false
	switch {
	case wrote && r.Err == nil:
		g.known(s, r.Version, out)
	case wrote:
		g.retry(now) // the next read settles it
	case errors.Is(r.Err, platform.ErrNotFound):
		g.write(s, 0, out)
	case r.Err != nil || len(r.Rows) == 0:
		g.retry(now)
	default:
		g.found(s, now, r.Rows[0], out)
	}
}

// found decides on the row that was read.
func (g *guard) found(s *System, now time.Duration, row platform.Row, out *system.Outbox) {
	var value guardRow
	err := json.Unmarshal(row.Value, &value)
	switch {
	case err == nil && value.Incarnation > s.cfg.Incarnation:
		// A later process has this host's name: this one claims nothing more.
		g.retry(now)
	case err == nil && value == g.written && value.Count >= g.least:
		g.known(s, row.Version, out)
	default:
		g.write(s, row.Version, out)
	}
}

// known takes the version of a row that this process wrote.
func (g *guard) known(s *System, version uint64, out *system.Outbox) {
	g.tries = 0
	g.version = version
	s.resume(out)
}

func (g *guard) retry(now time.Duration) {
	g.timer.start(now + backoff(guardFirstRetry, guardLastRetry, g.tries))
	g.tries++
}
