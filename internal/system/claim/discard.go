package claim

import (
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// discard removes the claim of a request that was not dispatched. While the
// discard exists, this host treats the claim as void.
type discard struct {
	row   string
	nonce string
	// ambiguous is set if an insert sent under guardVersion may still take
	// effect. The guard row is then rewritten before the claim's row is read.
	ambiguous    bool
	guardVersion uint64
	// awaitsGuard is set while the guard row is being rewritten.
	awaitsGuard bool
	// version is the version of the claim's row; 0 while it is unknown.
	version uint64
	tries   int
	timer   timer
}

func (s *System) discard(d discard, out *system.Outbox) {
	s.discards[d.nonce] = &d
	d.send(s, out)
}

func (d *discard) send(s *System, out *system.Outbox) {
	if d.ambiguous && s.guard.version == d.guardVersion {
		s.guard.rewrite(s, out)
	}
	d.awaitsGuard = d.ambiguous && s.guard.version == 0
	if d.awaitsGuard {
		return
	}
	d.ambiguous = false
	if d.version == 0 {
		s.call(d, system.Call{Kind: system.CallGet, Key: d.row}, out)
		return
	}
	s.call(d, system.Call{Kind: system.CallCommit, Txn: platform.Txn{
		Conditions: []platform.Condition{{Key: d.row, Version: d.version}},
		Deletes:    []string{d.row},
	}}, out)
}

func (d *discard) tick(s *System, now time.Duration, out *system.Outbox) {
	if d.timer.fire(now) {
		d.send(s, out)
	}
}

func (d *discard) reply(s *System, now time.Duration, r system.Reply, out *system.Outbox) {
	switch {
	case d.version == 0:
		d.handleRow(s, now, r, out)
	case r.Err == nil, errors.Is(r.Err, platform.ErrConflict):
		delete(s.discards, d.nonce)
	default:
		d.retry(now)
	}
}

// handleRow removes the row that was read if it still is the claim to discard.
func (d *discard) handleRow(s *System, now time.Duration, r system.Reply, out *system.Outbox) {
	if errors.Is(r.Err, platform.ErrNotFound) {
		delete(s.discards, d.nonce)
		return
	}
	if r.Err != nil || len(r.Rows) == 0 {
		d.retry(now)
		return
	}
	c, err := decode(r.Rows[0].Value)
	if err != nil || !s.isOwn(c) || c.Nonce != d.nonce {
		delete(s.discards, d.nonce)
		return
	}
	d.version = r.Rows[0].Version
	d.send(s, out)
}

func (d *discard) retry(now time.Duration) {
	d.timer.start(now + backoff(storeFirstRetry, storeLastRetry, d.tries))
	d.tries++
}
