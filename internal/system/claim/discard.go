package claim

import (
	"time"

	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/platform"
	"github.com/trefoilchute/trefoilchute/internal/system"
)

// discard removes the claim of a request that was not dispatched. As long as
// it is there, this host knows that the claim counts for nothing.
type discard struct {
	row   string
	nonce string
	// loose says that an insert sent under the guard's version may yet take
	// effect: the guard is renewed before the row is read.
	loose bool
	guard uint64
	// waiting says that the guard is being renewed.
	waiting bool
	// version is the row's version; 0 while it isn't known.
	version uint64
	tries   int
	timer   timer
}

func (s *System) discard(d discard, out *system.Outbox) {
	s.discards[d.nonce] = &d
	d.send(s, out)
}

func (d *discard) send(s *System, out *system.Outbox) {
	if d.loose && s.guard.version == d.guard {
		s.guard.renew(s, out)
	}
	d.waiting = d.loose && s.guard.version == 0
	if d.waiting {
		return
	}
	d.loose = false
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
		d.read(s, now, r, out)
	case r.Err == nil, errors.Is(r.Err, platform.ErrConflict):
		delete(s.discards, d.nonce)
	default:
		d.retry(now)
	}
}

// read takes the row to discard.
func (d *discard) read(s *System, now time.Duration, r system.Reply, out *system.Outbox) {
	if errors.Is(r.Err, platform.ErrNotFound) {
		delete(s.discards, d.nonce)
		return
	}
	if r.Err != nil || len(r.Rows) == 0 {
		d.retry(now)
		return
	}
	c, err := decode(r.Rows[0].Value)
	if err != nil || !s.mine(c) || c.Nonce != d.nonce {
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
